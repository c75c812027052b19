// Defines HttpConnectionPool, the idle connections of an HTTP client.
#pragma once

#include "base/Units.h"
#include "http/HttpEndpoint.h"

#include <QHash>

#include <list>
#include <memory>

namespace cranberry {

class TcpStream;
class TimerService;

/// Keeps connections that may serve a further exchange, a bounded number for each endpoint.
/// Thread safety: only from its own thread.
class HttpConnectionPool
{
public:
    /// Precondition: @p timers outlives the pool.
    explicit HttpConnectionPool(TimerService &timers);
    ~HttpConnectionPool();
    HttpConnectionPool(const HttpConnectionPool &) = delete;
    HttpConnectionPool &operator=(const HttpConnectionPool &) = delete;

    /// An open connection to @p endpoint that has been idle for at most @p mostIdle; null if
    /// there is none.
    std::unique_ptr<TcpStream> take(const HttpEndpoint &endpoint,
                                    std::optional<Milliseconds> mostIdle);

    /// Takes over @p stream and keeps it for at most @p keepFor.
    /// Precondition: its last answer was read whole.
    void give(const HttpEndpoint &endpoint, std::unique_ptr<TcpStream> stream,
              Milliseconds keepFor);

private:
    struct IdleConnection;
    using IdleList = std::list<std::shared_ptr<IdleConnection>>;

    static void dropUnusable(IdleList &list, MonotonicTime now);

    TimerService &m_timers;
    QHash<QString, IdleList> m_idle;
};

} // namespace cranberry
