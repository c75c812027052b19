#include "support/ConnectionOwner.h"

#include <QByteArray>
#include <QFile>

#include <arpa/inet.h>
#include <dirent.h>
#include <linux/inet_diag.h>
#include <linux/netlink.h>
#include <linux/sock_diag.h>
#include <memory>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace cranberry::test {

namespace {

/// Fields of a row of /proc/net/tcp before the inode.
constexpr int FieldsBeforeInode = 9;

/// The inode of the socket with a connection from @p localPort to @p remotePort, as the kernel
/// tells it; empty if there is none, or the kernel does not answer such requests.
QByteArray askForInode(quint16 localPort, quint16 remotePort)
{
    struct {
        nlmsghdr header;
        inet_diag_req_v2 body;
    } request{};
    request.header.nlmsg_len = sizeof(request);
    request.header.nlmsg_type = SOCK_DIAG_BY_FAMILY;
    request.header.nlmsg_flags = NLM_F_REQUEST;
    request.body.sdiag_family = AF_INET;
    request.body.sdiag_protocol = IPPROTO_TCP;
    request.body.idiag_states = ~0U;
    request.body.id.idiag_sport = htons(localPort);
    request.body.id.idiag_dport = htons(remotePort);
    request.body.id.idiag_src[0] = htonl(INADDR_LOOPBACK);
    request.body.id.idiag_dst[0] = htonl(INADDR_LOOPBACK);
    request.body.id.idiag_cookie[0] = INET_DIAG_NOCOOKIE;
    request.body.id.idiag_cookie[1] = INET_DIAG_NOCOOKIE;
    const int kernel = ::socket(AF_NETLINK, SOCK_DGRAM | SOCK_CLOEXEC, NETLINK_SOCK_DIAG);
    struct {
        nlmsghdr header;
        inet_diag_msg body;
        char rest[1024];
    } answer{};
    const bool isAnswered = kernel >= 0
        && ::send(kernel, &request, sizeof(request), 0) == ssize_t(sizeof(request))
        && ::recv(kernel, &answer, sizeof(answer), 0)
            >= ssize_t(sizeof(answer.header) + sizeof(answer.body))
        && answer.header.nlmsg_type == SOCK_DIAG_BY_FAMILY;
    if (kernel >= 0)
        ::close(kernel);
    const quint32 inode = isAnswered ? answer.body.idiag_inode : 0;
    return inode == 0 ? QByteArray() : QByteArray::number(inode);
}

/// The inode of the socket with a connection from @p localPort; empty if there is none. Takes some
/// 10 ms, as the kernel writes a table of all connections.
QByteArray findInode(quint16 localPort)
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

int connectionOwner(quint16 localPort, quint16 remotePort, const QList<qint64> &processes)
{
    QByteArray inode = askForInode(localPort, remotePort);
    if (inode.isEmpty())
        inode = findInode(localPort);
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
