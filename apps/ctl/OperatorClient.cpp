#include "ctl/OperatorClient.h"

#include <QEventLoop>
#include <QJsonDocument>

namespace cranberry::ctl {

namespace {

constexpr Milliseconds CallTimeout{15'000};

QString describeFailure(HttpExchangeEnd end)
{
    switch (end) {
    case HttpExchangeEnd::NotConnected:
        return QStringLiteral("no connection");
    case HttpExchangeEnd::Broken:
        return QStringLiteral("the connection closed before the response was complete");
    case HttpExchangeEnd::Malformed:
        return QStringLiteral("the response is not valid HTTP");
    case HttpExchangeEnd::TimedOut:
        return QStringLiteral("the request timed out");
    case HttpExchangeEnd::Complete:
        break;
    }
    return {};
}

} // namespace

OperatorResponse OperatorClient::get(const HttpEndpoint &daemon, const QByteArray &path)
{
    return call(daemon, {"GET", path, {}, {{"Authorization", "Bearer " + m_token}}, {}});
}

OperatorResponse OperatorClient::putConfiguration(const HttpEndpoint &daemon,
                                                  qint64 expectedVersion,
                                                  const QJsonObject &document)
{
    const HttpHeaders headers{{"Authorization", "Bearer " + m_token},
                              {"Content-Type", "application/json"},
                              {"If-Match", '"' + QByteArray::number(expectedVersion) + '"'}};
    return call(daemon,
                {"PUT",
                 "/v1/configuration",
                 {},
                 headers,
                 QJsonDocument(document).toJson(QJsonDocument::Compact)});
}

OperatorResponse OperatorClient::call(const HttpEndpoint &daemon, const HttpRequest &request)
{
    OperatorResponse result;
    HttpExchangeOptions options;
    options.timeout = CallTimeout;
    QEventLoop loop;
    const auto exchange = m_client.fetch(
        daemon, request, options, [&](HttpExchangeEnd end, const HttpResponse &response) {
            if (end == HttpExchangeEnd::Complete) {
                result.status = response.status;
                result.headers = response.headers;
                result.body = QJsonDocument::fromJson(response.body).object();
            } else {
                result.problem = describeFailure(end);
            }
            loop.quit();
        });
    loop.exec();
    if (result.status != 0 && !result.isSuccess()) {
        const QString detail = result.body.value(QLatin1String("detail")).toString();
        result.problem = QStringLiteral("HTTP %1: %2").arg(result.status).arg(detail);
    }
    return result;
}

} // namespace cranberry::ctl
