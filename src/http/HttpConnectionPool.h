#pragma once

#include "base/Units.h"
#include "http/HttpEndpoint.h"

#include <QHash>

#include <list>
#include <memory>

namespace cranberry {

class TcpStream;
class TimerService;

/// Keeps idle client connections for reuse by later exchanges, a limited number per endpoint.
/// Thread safety: only from its own thread.
class HttpConnectionPool
{
public:
    /// Precondition: @p timers outlives the pool.
    explicit HttpConnectionPool(TimerService &timers);
    ~HttpConnectionPool();
    HttpConnectionPool(const HttpConnectionPool &) = delete;
    HttpConnectionPool &operator=(const HttpConnectionPool &) = delete;

    /// Removes from the pool and returns an open connection to @p endpoint that has been idle for
    /// at most @p maxIdleTime; null if there is none.
    std::unique_ptr<TcpStream> take(const HttpEndpoint &endpoint,
                                    std::optional<Milliseconds> maxIdleTime);

    /// Takes ownership of @p stream and keeps it for at most @p keepAliveTimeout.
    /// Precondition: the last response on it was read completely.
    void release(const HttpEndpoint &endpoint, std::unique_ptr<TcpStream> stream,
                 Milliseconds keepAliveTimeout);

private:
    struct IdleConnection;
    using IdleList = std::list<std::shared_ptr<IdleConnection>>;

    static void removeUnusable(IdleList &list, MonotonicTime now);

    TimerService &m_timers;
    QHash<QString, IdleList> m_idle;
};

} // namespace cranberry
