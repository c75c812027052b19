#pragma once

#include "http/HttpEndpoint.h"

#include <QByteArray>

#include <atomic>
#include <functional>
#include <thread>
#include <vector>

namespace cranberry::test {

/// What each client of a HostileCrowd sends.
struct CrowdPlan {
    int clients = 0;
    /// The bytes that a client writes after its @p written blocks so far; it writes no more once
    /// they are empty. Called in the thread of the crowd.
    std::function<QByteArray(int client, int written)> nextBlock;
    /// Bytes that a client reads of a response before it ceases to read.
    qint64 readBytes = 0;
};

/// Clients that write as fast as they can, in a thread of their own, and leave what is sent to them
/// unread. They keep their connections until the crowd is destroyed.
/// Thread safety: only from the thread that made it.
class HostileCrowd
{
public:
    HostileCrowd(const HttpEndpoint &endpoint, CrowdPlan plan);
    ~HostileCrowd();
    HostileCrowd(const HostileCrowd &) = delete;
    HostileCrowd &operator=(const HostileCrowd &) = delete;

    /// Whether no client can write: all bytes are written, the connection has ended, or its peer
    /// has read nothing for a second.
    bool isSettled() const;
    qint64 writtenBytes() const { return m_writtenBytes; }
    /// Connections that the peer has closed.
    int closed() const { return m_closed; }

private:
    struct Client {
        int descriptor = -1;
        int writtenBlocks = 0;
        QByteArray block;
        qsizetype writtenOfBlock = 0;
        qint64 toRead = 0;
        bool isWritten = false;
    };

    void run();
    void write(Client &client, int number);
    void read(Client &client);
    void end(Client &client);

    const CrowdPlan m_plan;
    std::vector<Client> m_clients;
    std::atomic<bool> m_isStopped{false};
    std::atomic<bool> m_areAllWritten{false};
    std::atomic<qint64> m_writtenBytes{0};
    std::atomic<int> m_closed{0};
    std::atomic<qint64> m_lastProgressMs;
    std::thread m_thread;
};

} // namespace cranberry::test
