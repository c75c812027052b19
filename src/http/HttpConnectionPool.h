#pragma once

#include "base/Units.h"
#include "http/HttpEndpoint.h"

#include <QByteArray>
#include <QHash>

#include <list>
#include <memory>

namespace cranberry {

class TimerService;
struct ClientConnection;

/// Keeps idle client connections for reuse by later exchanges, a limited number per endpoint.
/// Thread safety: only from its own thread.
class HttpConnectionPool
{
public:
    struct Counters {
        /// Idle connections that were closed because data was received on them.
        qint64 unexpectedData = 0;
        /// Responses to another request than the one that was sent last.
        qint64 foreignResponses = 0;
    };

    /// Precondition: @p timers outlives the pool.
    explicit HttpConnectionPool(TimerService &timers);
    ~HttpConnectionPool();
    HttpConnectionPool(const HttpConnectionPool &) = delete;
    HttpConnectionPool &operator=(const HttpConnectionPool &) = delete;

    /// Starts to open a connection to @p endpoint for a request named @p name, empty if it has no
    /// name; see TcpStream::connectTo().
    ClientConnection open(const HttpEndpoint &endpoint, const QByteArray &name);

    /// Removes from the pool and returns an open connection to @p endpoint that has been idle for
    /// at most @p maxIdleTime; without a stream if there is none. No two requests of the same
    /// @p name get the same connection: a second response to the earlier one would be taken for
    /// that to the later one. See HttpExchangeOptions::requireNamed; other exchanges prefer
    /// connections that it excludes.
    ClientConnection take(const HttpEndpoint &endpoint, std::optional<Milliseconds> maxIdleTime,
                          bool requireNamed, const QByteArray &name);

    /// Takes ownership of @p connection and keeps it for at most @p keepAliveTimeout. A connection
    /// that has carried very many named requests is closed instead.
    /// Precondition: the last response on it was read completely.
    void release(const HttpEndpoint &endpoint, ClientConnection connection,
                 Milliseconds keepAliveTimeout);

    void countForeignResponse() { ++m_counters.foreignResponses; }
    const Counters &counters() const { return m_counters; }

private:
    struct IdleConnection;
    using IdleList = std::list<std::shared_ptr<IdleConnection>>;

    static void removeUnusable(IdleList &list, MonotonicTime now);

    TimerService &m_timers;
    quint64 m_opened = 0;
    Counters m_counters;
    QHash<QString, IdleList> m_idle;
};

} // namespace cranberry
