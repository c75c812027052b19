#include "support/FleetClient.h"

#include "support/EventLoop.h"
#include "support/FleetStream.h"

#include <QJsonDocument>

namespace cranberry::test {

namespace {

constexpr Milliseconds CallTimeout{30'000};

HttpRequest jsonRequest(const QByteArray &method, const QByteArray &path, const QJsonObject &body,
                        const HttpHeaders &headers)
{
    HttpRequest request{
        method, path, {}, headers, QJsonDocument(body).toJson(QJsonDocument::Compact)};
    request.headers.add("Content-Type", "application/json");
    return request;
}

} // namespace

FleetClient::FleetClient()
    : m_http(m_timers)
{
    ensureApplication();
}

FleetAnswer FleetClient::call(const HttpEndpoint &endpoint, const HttpRequest &request)
{
    HttpExchangeOptions options;
    options.timeout = CallTimeout;
    FleetStream stream(m_http, m_timers, endpoint, request, options);
    if (!stream.waitOver())
        return {HttpExchangeEnd::TimedOut, {}, {}};
    return {*stream.end(), stream.response(), stream.json()};
}

FleetAnswer FleetClient::get(const HttpEndpoint &endpoint, const QByteArray &path,
                             const HttpHeaders &headers)
{
    const qsizetype mark = path.indexOf('?');
    const QByteArray bare = mark < 0 ? path : path.left(mark);
    const QUrlQuery query(mark < 0 ? QString() : QString::fromUtf8(path.mid(mark + 1)));
    return call(endpoint, {"GET", bare, query, headers, {}});
}

FleetAnswer FleetClient::sendJson(const HttpEndpoint &endpoint, const QByteArray &method,
                                  const QByteArray &path, const QJsonObject &body,
                                  const HttpHeaders &headers)
{
    return call(endpoint, jsonRequest(method, path, body, headers));
}

std::unique_ptr<FleetStream> FleetClient::post(const HttpEndpoint &endpoint, const QByteArray &path,
                                               const QJsonObject &body, const HttpHeaders &headers)
{
    return std::make_unique<FleetStream>(m_http, m_timers, endpoint,
                                         jsonRequest("POST", path, body, headers),
                                         HttpExchangeOptions());
}

} // namespace cranberry::test
