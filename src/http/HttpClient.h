#pragma once

#include "http/HttpConnectionPool.h"
#include "http/HttpExchange.h"
#include "http/HttpExchangeOptions.h"
#include "http/HttpRequest.h"
#include "http/HttpResponse.h"

#include <functional>
#include <memory>

namespace cranberry {

class TimerService;

/// An HTTP/1.1 client without a limit on connections per host, which delivers responses as they
/// arrive. QNetworkAccessManager opens at most six connections per host and queues further requests
/// without notice, so that streams that last minutes would block other requests. This client runs
/// on Qt's event loop and uses Boost.Beast's parser.
/// Thread safety: only from its own thread.
class HttpClient
{
public:
    /// Called once, with the complete response or with how the exchange ended without one.
    using ResponseCallback = std::function<void(HttpExchangeEnd end, const HttpResponse &response)>;

    /// Precondition: @p timers outlives the client.
    explicit HttpClient(TimerService &timers)
        : m_timers(timers)
        , m_pool(timers)
    {
    }

    /// Sends @p request. Destroying the result cancels the exchange.
    [[nodiscard]] std::unique_ptr<HttpExchange> send(const HttpEndpoint &endpoint,
                                                     const HttpRequest &request,
                                                     const HttpExchangeOptions &options,
                                                     HttpExchangeCallbacks callbacks);

    /// Sends @p request and collects the complete response. Destroying the result cancels the
    /// exchange.
    [[nodiscard]] std::unique_ptr<HttpExchange> fetch(const HttpEndpoint &endpoint,
                                                      const HttpRequest &request,
                                                      const HttpExchangeOptions &options,
                                                      ResponseCallback callback);

    /// Responses are accounted for in @p memory, which outlives the client.
    void setMemory(CallerMemory &memory) { m_memory = &memory; }
    const HttpConnectionPool::Counters &counters() const { return m_pool.counters(); }

private:
    TimerService &m_timers;
    HttpConnectionPool m_pool;
    CallerMemory *m_memory = nullptr;
};

/// Maximum size of a collected response if the options set none.
constexpr Bytes DefaultMaxCollected{16 * 1024 * 1024};

/// Returns @p options of an exchange whose response is collected, with a maximum size. Thread-safe.
HttpExchangeOptions collectingOptions(HttpExchangeOptions options);

/// Returns callbacks that collect the response and pass it to @p callback. Thread-safe.
HttpExchangeCallbacks collectingCallbacks(HttpClient::ResponseCallback callback);

} // namespace cranberry
