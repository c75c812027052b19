#include "ctl/OperatorClient.h"

#include <QEventLoop>
#include <QJsonDocument>

namespace cranberry::ctl {

namespace {

constexpr Milliseconds CallTimeout{15'000};

QString reasonOf(HttpExchangeEnd end)
{
    switch (end) {
    case HttpExchangeEnd::NotConnected:
        return QStringLiteral("no connection");
    case HttpExchangeEnd::Broken:
        return QStringLiteral("the connection broke before the answer was whole");
    case HttpExchangeEnd::Malformed:
        return QStringLiteral("the answer is not HTTP");
    case HttpExchangeEnd::TimedOut:
        return QStringLiteral("no answer in time");
    case HttpExchangeEnd::Complete:
        break;
    }
    return {};
}

} // namespace

OperatorAnswer OperatorClient::get(const HttpEndpoint &daemon, const QByteArray &path)
{
    return call(daemon, {"GET", path, {}, {{"Authorization", "Bearer " + m_token}}, {}});
}

OperatorAnswer OperatorClient::put(const HttpEndpoint &daemon, qint64 expected,
                                   const QJsonObject &document)
{
    const HttpHeaders headers{{"Authorization", "Bearer " + m_token},
                              {"Content-Type", "application/json"},
                              {"If-Match", '"' + QByteArray::number(expected) + '"'}};
    return call(daemon,
                {"PUT",
                 "/v1/configuration",
                 {},
                 headers,
                 QJsonDocument(document).toJson(QJsonDocument::Compact)});
}

OperatorAnswer OperatorClient::call(const HttpEndpoint &daemon, const HttpRequest &request)
{
    OperatorAnswer answer;
    HttpExchangeOptions options;
    options.timeout = CallTimeout;
    QEventLoop loop;
    const auto exchange = m_client.fetch(
        daemon, request, options, [&](HttpExchangeEnd end, const HttpResponse &response) {
            if (end == HttpExchangeEnd::Complete) {
                answer.status = response.status;
                answer.headers = response.headers;
                answer.body = QJsonDocument::fromJson(response.body).object();
            } else {
                answer.problem = reasonOf(end);
            }
            loop.quit();
        });
    loop.exec();
    if (answer.status != 0 && !answer.isSuccess()) {
        const QString detail = answer.body.value(QLatin1String("detail")).toString();
        answer.problem = QStringLiteral("HTTP %1: %2").arg(answer.status).arg(detail);
    }
    return answer;
}

} // namespace cranberry::ctl
