#include "http/HttpConnectionPool.h"

#include "base/EventLog.h"
#include "base/TimerService.h"
#include "http/ClientConnection.h"
#include "http/TcpStream.h"

#include <algorithm>

namespace cranberry {

namespace {

constexpr std::size_t MaxIdlePerEndpoint = 16;
/// Bounds the memory and the search of ClientConnection::sentNames.
constexpr std::size_t MaxSentNames = 256;

QString endpointKey(const HttpEndpoint &endpoint)
{
    return endpoint.address + u':' + QString::number(endpoint.port);
}

bool hasSent(const ClientConnection &connection, const QByteArray &name)
{
    const std::vector<std::size_t> &sent = connection.sentNames;
    return !name.isEmpty() && std::find(sent.begin(), sent.end(), qHash(name)) != sent.end();
}

void recordName(ClientConnection &connection, const QByteArray &name)
{
    if (!name.isEmpty())
        connection.sentNames.push_back(qHash(name));
}

} // namespace

struct HttpConnectionPool::IdleConnection {
    /// Without a stream after data or the end of the connection was received while it was idle.
    ClientConnection connection;
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
        return !idle->connection.stream || idle->expiresAt <= now;
    });
}

ClientConnection HttpConnectionPool::open(const HttpEndpoint &endpoint, const QByteArray &name)
{
    ClientConnection connection;
    connection.stream = TcpStream::connectTo(endpoint);
    connection.use.number = ++m_opened;
    connection.use.openedAt = m_timers.now();
    recordName(connection, name);
    return connection;
}

ClientConnection HttpConnectionPool::take(const HttpEndpoint &endpoint,
                                          std::optional<Milliseconds> maxIdleTime,
                                          bool requireNamed, const QByteArray &name)
{
    const auto found = m_idle.find(endpointKey(endpoint));
    if (found == m_idle.end())
        return {};
    const MonotonicTime now = m_timers.now();
    removeUnusable(*found, now);
    ClientConnection connection;
    // The connection at the back was released last and has been idle for the shortest time.
    const auto lastOf = [&](bool hadUnnamed) {
        return std::find_if(
            found->rbegin(), found->rend(), [&](const std::shared_ptr<IdleConnection> &idle) {
                const bool isFresh = !maxIdleTime || now - idle->idleSince <= *maxIdleTime;
                return isFresh && idle->connection.use.hadUnnamed == hadUnnamed
                    && !hasSent(idle->connection, name);
            });
    };
    auto chosen = requireNamed ? found->rend() : lastOf(true);
    if (chosen == found->rend())
        chosen = lastOf(false);
    if (chosen != found->rend()) {
        connection = std::move((*chosen)->connection);
        connection.stream->setCallbacks({});
        ++connection.use.earlierExchanges;
        recordName(connection, name);
        found->erase(std::next(chosen).base());
    }
    if (found->empty())
        m_idle.erase(found);
    return connection;
}

void HttpConnectionPool::release(const HttpEndpoint &endpoint, ClientConnection connection,
                                 Milliseconds keepAliveTimeout)
{
    if (connection.sentNames.size() >= MaxSentNames)
        return;
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
        if (const auto held = weak.lock())
            held->connection.stream.reset();
    };
    callbacks.received = [this, endpoint, use = connection.use, close](const QByteArray &data) {
        ++m_counters.unexpectedData;
        logEvent(LogLevel::Info, EventId::ConnectionUnexpectedData,
                 {{"peer", endpointKey(endpoint)},
                  {"connection", QString::number(use.number)},
                  {"exchanges", QString::number(use.earlierExchanges + 1)},
                  {"connection_ms", QString::number(ageOf(use, m_timers.now()).count())},
                  {"bytes", QString::number(data.size())}});
        close();
    };
    callbacks.ended = [close](TcpEnd) { close(); };
    connection.stream->setCallbacks(std::move(callbacks));
    idle->connection = std::move(connection);
    list.push_back(std::move(idle));
    if (list.size() > MaxIdlePerEndpoint)
        list.pop_front();
}

} // namespace cranberry
