#include "http/HttpConnectionPool.h"

#include "base/TimerService.h"
#include "http/TcpStream.h"

namespace cranberry {

namespace {

constexpr std::size_t MaxIdlePerEndpoint = 16;

QString endpointKey(const HttpEndpoint &endpoint)
{
    return endpoint.address + u':' + QString::number(endpoint.port);
}

} // namespace

struct HttpConnectionPool::IdleConnection {
    /// Null after data or the end of the connection was received while it was idle.
    std::unique_ptr<TcpStream> stream;
    MonotonicTime idleSince;
    MonotonicTime expiresAt;
};

HttpConnectionPool::HttpConnectionPool(TimerService &timers)
    : m_timers(timers)
{
}

HttpConnectionPool::~HttpConnectionPool() = default;

void HttpConnectionPool::removeUnusable(IdleList &list, MonotonicTime now)
{
    list.remove_if([now](const std::shared_ptr<IdleConnection> &idle) {
        return !idle->stream || idle->expiresAt <= now;
    });
}

std::unique_ptr<TcpStream> HttpConnectionPool::take(const HttpEndpoint &endpoint,
                                                    std::optional<Milliseconds> maxIdleTime)
{
    const auto found = m_idle.find(endpointKey(endpoint));
    if (found == m_idle.end())
        return nullptr;
    const MonotonicTime now = m_timers.now();
    removeUnusable(*found, now);
    std::unique_ptr<TcpStream> stream;
    // The connection at the back was released last and has been idle for the shortest time.
    const auto isFresh = [&](const IdleConnection &idle) {
        return !maxIdleTime || now - idle.idleSince <= *maxIdleTime;
    };
    if (!found->empty() && isFresh(*found->back())) {
        stream = std::move(found->back()->stream);
        stream->setCallbacks({});
        found->pop_back();
    }
    if (found->empty())
        m_idle.erase(found);
    return stream;
}

void HttpConnectionPool::release(const HttpEndpoint &endpoint, std::unique_ptr<TcpStream> stream,
                                 Milliseconds keepAliveTimeout)
{
    const MonotonicTime now = m_timers.now();
    IdleList &list = m_idle[endpointKey(endpoint)];
    removeUnusable(list, now);
    auto idle = std::make_shared<IdleConnection>();
    idle->idleSince = now;
    idle->expiresAt = now + keepAliveTimeout;
    TcpStreamCallbacks callbacks;
    const std::weak_ptr<IdleConnection> weak = idle;
    // Data after a response belongs to no request, and more may follow without end.
    const auto close = [weak] {
        if (const auto connection = weak.lock())
            connection->stream.reset();
    };
    callbacks.received = [close](const QByteArray &) { close(); };
    callbacks.ended = [close](TcpEnd) { close(); };
    stream->setCallbacks(std::move(callbacks));
    idle->stream = std::move(stream);
    list.push_back(std::move(idle));
    if (list.size() > MaxIdlePerEndpoint)
        list.pop_front();
}

} // namespace cranberry
