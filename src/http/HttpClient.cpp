#include "http/HttpClient.h"

namespace cranberry {

std::unique_ptr<HttpExchange> HttpClient::send(const HttpEndpoint &endpoint,
                                               const HttpRequest &request,
                                               const HttpExchangeOptions &options,
                                               HttpExchangeCallbacks callbacks)
{
    HttpExchangeOptions accounted = options;
    accounted.memory = m_memory;
    return std::make_unique<HttpExchange>(m_pool, m_timers, endpoint, request, accounted,
                                          std::move(callbacks));
}

std::unique_ptr<HttpExchange> HttpClient::fetch(const HttpEndpoint &endpoint,
                                                const HttpRequest &request,
                                                const HttpExchangeOptions &options,
                                                ResponseCallback callback)
{
    return send(endpoint, request, collectingOptions(options),
                collectingCallbacks(std::move(callback)));
}

HttpExchangeOptions collectingOptions(HttpExchangeOptions options)
{
    options.collectsBody = true;
    if (!options.maxBody)
        options.maxBody = DefaultMaxCollected;
    return options;
}

HttpExchangeCallbacks collectingCallbacks(HttpClient::ResponseCallback callback)
{
    auto response = std::make_shared<HttpResponse>();
    HttpExchangeCallbacks callbacks;
    callbacks.headers = [response](int status, const HttpHeaders &headers) {
        response->status = status;
        response->headers = headers;
    };
    callbacks.body = [response](const QByteArray &data) { response->body += data; };
    callbacks.finished = [response, callback = std::move(callback)](HttpExchangeEnd end,
                                                                    const QString &reason) {
        Q_UNUSED(reason)
        callback(end, *response);
    };
    return callbacks;
}

} // namespace cranberry
