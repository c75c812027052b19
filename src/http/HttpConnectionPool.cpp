#include "http/HttpConnectionPool.h"

#include "base/TimerService.h"
#include "http/TcpStream.h"

namespace cranberry {

namespace {

constexpr std::size_t IdlePerEndpoint = 16;

QString endpointKey(const HttpEndpoint &endpoint)
{
    return endpoint.address + u':' + QString::number(endpoint.port);
}

} // namespace

struct HttpConnectionPool::IdleConnection {
    std::unique_ptr<TcpStream> stream;
    MonotonicTime since;
    MonotonicTime until;
    /// Bytes or an end came while it was idle; neither belongs to any request.
    bool spoilt = false;
};

HttpConnectionPool::HttpConnectionPool(TimerService &timers)
    : m_timers(timers)
{
}

HttpConnectionPool::~HttpConnectionPool() = default;

void HttpConnectionPool::dropUnusable(IdleList &list, MonotonicTime now)
{
    list.remove_if([now](const std::shared_ptr<IdleConnection> &idle) {
        return idle->spoilt || idle->until <= now;
    });
}

std::unique_ptr<TcpStream> HttpConnectionPool::take(const HttpEndpoint &endpoint,
                                                    std::optional<Milliseconds> mostIdle)
{
    const auto found = m_idle.find(endpointKey(endpoint));
    if (found == m_idle.end())
        return nullptr;
    const MonotonicTime now = m_timers.now();
    dropUnusable(*found, now);
    std::unique_ptr<TcpStream> stream;
    // The last one given is the one that has been idle for the shortest time.
    const auto isFresh = [&](const IdleConnection &idle) {
        return !mostIdle || now - idle.since <= *mostIdle;
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

void HttpConnectionPool::give(const HttpEndpoint &endpoint, std::unique_ptr<TcpStream> stream,
                              Milliseconds keepFor)
{
    const MonotonicTime now = m_timers.now();
    IdleList &list = m_idle[endpointKey(endpoint)];
    dropUnusable(list, now);
    auto idle = std::make_shared<IdleConnection>();
    idle->since = now;
    idle->until = now + keepFor;
    TcpStreamCallbacks callbacks;
    const std::weak_ptr<IdleConnection> weak = idle;
    const auto spoil = [weak] {
        if (const auto connection = weak.lock())
            connection->spoilt = true;
    };
    callbacks.received = [spoil](const QByteArray &) { spoil(); };
    callbacks.ended = [spoil](TcpEnd) { spoil(); };
    stream->setCallbacks(std::move(callbacks));
    idle->stream = std::move(stream);
    list.push_back(std::move(idle));
    if (list.size() > IdlePerEndpoint)
        list.pop_front();
}

} // namespace cranberry
