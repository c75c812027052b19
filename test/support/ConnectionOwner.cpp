#include "support/ConnectionOwner.h"

#include <QByteArray>
#include <QDir>
#include <QFile>

#include <unistd.h>

namespace cranberry::test {

namespace {

/// Fields of a row of /proc/net/tcp.
constexpr int LocalAddressField = 1;
constexpr int InodeField = 9;
constexpr int MinFields = 10;

QByteArray inodeOf(quint16 localPort)
{
    QFile table(QStringLiteral("/proc/net/tcp"));
    if (!table.open(QIODevice::ReadOnly))
        return {};
    const QList<QByteArray> rows = table.readAll().split('\n');
    for (const QByteArray &row : rows) {
        const QList<QByteArray> fields = row.simplified().split(' ');
        if (fields.size() < MinFields)
            continue;
        const quint16 port = fields[LocalAddressField].split(':').last().toUShort(nullptr, 16);
        if (port == localPort && fields[InodeField] != "0")
            return fields[InodeField];
    }
    return {};
}

bool holds(qint64 process, const QByteArray &link)
{
    const QByteArray directory = "/proc/" + QByteArray::number(process) + "/fd/";
    const QStringList descriptors =
        QDir(QString::fromLatin1(directory)).entryList(QDir::Files | QDir::System);
    for (const QString &descriptor : descriptors) {
        char text[64] = {};
        const ssize_t length =
            ::readlink((directory + descriptor.toLatin1()).constData(), text, sizeof(text) - 1);
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
