#include "support/ConnectionOwner.h"

#include <QByteArray>
#include <QFile>

#include <dirent.h>
#include <memory>
#include <unistd.h>

namespace cranberry::test {

namespace {

/// Fields of a row of /proc/net/tcp before the inode.
constexpr int FieldsBeforeInode = 9;

/// The inode of the socket with a connection from @p localPort; empty if there is none.
QByteArray inodeOf(quint16 localPort)
{
    QFile table(QStringLiteral("/proc/net/tcp"));
    if (!table.open(QIODevice::ReadOnly))
        return {};
    const QByteArray rows = table.readAll();
    const QByteArray local =
        ": 0100007F:" + QByteArray::number(localPort, 16).toUpper().rightJustified(4, '0') + ' ';
    for (qsizetype at = rows.indexOf(local); at >= 0; at = rows.indexOf(local, at + 1)) {
        const qsizetype begin = rows.lastIndexOf('\n', at) + 1;
        const QList<QByteArray> fields =
            rows.mid(begin, rows.indexOf('\n', at) - begin).simplified().split(' ');
        QByteArray inode = fields.value(FieldsBeforeInode);
        // A connection that is closed has none.
        if (!inode.isEmpty() && inode != "0")
            return inode;
    }
    return {};
}

bool holds(qint64 process, const QByteArray &link)
{
    const QByteArray path = "/proc/" + QByteArray::number(process) + "/fd";
    const std::unique_ptr<DIR, int (*)(DIR *)> directory(::opendir(path.constData()), ::closedir);
    if (!directory)
        return false;
    while (const dirent *entry = ::readdir(directory.get())) {
        char text[64] = {};
        const ssize_t length =
            ::readlinkat(::dirfd(directory.get()), entry->d_name, text, sizeof(text) - 1);
        if (length > 0 && link == text)
            return true;
    }
    return false;
}

} // namespace

int connectionOwner(quint16 localPort, const QList<qint64> &processes)
{
    const QByteArray inode = inodeOf(localPort);
    if (inode.isEmpty())
        return -1;
    const QByteArray link = "socket:[" + inode + ']';
    for (int i = 0; i < processes.size(); ++i) {
        if (holds(processes[i], link))
            return i;
    }
    return -1;
}

} // namespace cranberry::test
