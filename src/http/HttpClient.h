// Defines HttpClient, which sends requests and hands over answers as they come.
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

/// An HTTP/1.1 client without a bound on streams per host. Qt's network access opens six
/// connections a host and lets further requests wait silently, which a stream of minutes
/// cannot have; the sockets are Qt's and the parser is Boost.Beast's.
/// Thread safety: only from its own thread.
class HttpClient
{
public:
    /// Told once: the whole answer, or how the exchange ended without one.
    using WholeCallback = std::function<void(HttpExchangeEnd end, const HttpResponse &response)>;

    /// Precondition: @p timers outlives the client.
    explicit HttpClient(TimerService &timers)
        : m_timers(timers)
        , m_pool(timers)
    {
    }

    /// Sends @p request; the exchange ends when the result is destroyed.
    [[nodiscard]] std::unique_ptr<HttpExchange> send(const HttpEndpoint &endpoint,
                                                     const HttpRequest &request,
                                                     const HttpExchangeOptions &options,
                                                     HttpExchangeCallbacks callbacks);

    /// Sends @p request and collects the answer. The exchange ends when the result is destroyed.
    [[nodiscard]] std::unique_ptr<HttpExchange> fetch(const HttpEndpoint &endpoint,
                                                      const HttpRequest &request,
                                                      const HttpExchangeOptions &options,
                                                      WholeCallback callback);

private:
    TimerService &m_timers;
    HttpConnectionPool m_pool;
};

} // namespace cranberry
