#include "support/HostileCrowd.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <netinet/in.h>
#include <poll.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace cranberry::test {

namespace {

constexpr qint64 SettledMs = 1000;
constexpr int PollIntervalMs = 50;
constexpr size_t ReadBlockBytes = 16 * 1024;

qint64 nowMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

int connectTo(const HttpEndpoint &endpoint)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (descriptor < 0)
        throw std::runtime_error("the crowd has no descriptors left");
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(endpoint.port);
    ::inet_pton(AF_INET, endpoint.address.toLatin1().constData(), &address.sin_addr);
    (void)::connect(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof(address));
    return descriptor;
}

} // namespace

HostileCrowd::HostileCrowd(const HttpEndpoint &endpoint, CrowdPlan plan)
    : m_plan(std::move(plan))
    , m_clients(size_t(m_plan.clients))
    , m_lastProgressMs(nowMs())
{
    for (Client &client : m_clients) {
        client.descriptor = connectTo(endpoint);
        client.toRead = m_plan.readBytes;
    }
    m_thread = std::thread([this] { run(); });
}

HostileCrowd::~HostileCrowd()
{
    m_isStopped = true;
    m_thread.join();
    for (const Client &client : m_clients) {
        if (client.descriptor >= 0)
            ::close(client.descriptor);
    }
}

bool HostileCrowd::isSettled() const
{
    return m_areAllWritten || nowMs() - m_lastProgressMs > SettledMs;
}

void HostileCrowd::run()
{
    std::vector<pollfd> polled(m_clients.size());
    while (!m_isStopped) {
        bool areAllWritten = true;
        for (size_t i = 0; i < m_clients.size(); ++i) {
            const Client &client = m_clients[i];
            const bool isWriting = client.descriptor >= 0 && !client.isWritten;
            areAllWritten = areAllWritten && !isWriting;
            polled[i] = {client.descriptor,
                         short((isWriting ? POLLOUT : 0) | (client.toRead > 0 ? POLLIN : 0)), 0};
        }
        m_areAllWritten = areAllWritten;
        if (::poll(polled.data(), nfds_t(polled.size()), PollIntervalMs) <= 0)
            continue;
        for (size_t i = 0; i < m_clients.size(); ++i) {
            Client &client = m_clients[i];
            if ((polled[i].revents & (POLLERR | POLLHUP | POLLNVAL)) != 0)
                end(client);
            if ((polled[i].revents & POLLIN) != 0)
                read(client);
            if ((polled[i].revents & POLLOUT) != 0)
                write(client, int(i));
        }
    }
}

void HostileCrowd::write(Client &client, int number)
{
    if (client.descriptor < 0)
        return;
    if (client.writtenOfBlock == client.block.size()) {
        client.block = m_plan.nextBlock(number, client.writtenBlocks++);
        client.writtenOfBlock = 0;
        client.isWritten = client.block.isEmpty();
        if (client.isWritten)
            return;
    }
    const ssize_t count =
        ::send(client.descriptor, client.block.constData() + client.writtenOfBlock,
               size_t(client.block.size() - client.writtenOfBlock), MSG_NOSIGNAL);
    if (count > 0) {
        client.writtenOfBlock += count;
        m_writtenBytes += count;
        m_lastProgressMs = nowMs();
    } else if (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR) {
        end(client);
    }
}

void HostileCrowd::read(Client &client)
{
    if (client.descriptor < 0)
        return;
    char buffer[ReadBlockBytes];
    const ssize_t count =
        ::recv(client.descriptor, buffer, std::min(sizeof(buffer), size_t(client.toRead)), 0);
    if (count > 0)
        client.toRead -= count;
    else if (count == 0)
        end(client);
}

void HostileCrowd::end(Client &client)
{
    if (client.descriptor < 0)
        return;
    ::close(client.descriptor);
    client.descriptor = -1;
    ++m_closed;
    m_lastProgressMs = nowMs();
}

} // namespace cranberry::test
