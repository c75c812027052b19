#include "support/OperatorServer.h"

#include "http/HttpResponder.h"
#include "support/EventLoop.h"

#include <QJsonDocument>

namespace cranberry::test {

const QByteArray OperatorServer::Token = "operator-token-of-a-test";

OperatorServer::OperatorServer(const QString &vm, std::shared_ptr<MemoryKeyValueTable> table)
    : daemon(std::move(table), m_timers)
    , m_api(VmId(vm), Token, daemon.store, daemon.workers,
            {[this] { return daemon.store.current() != nullptr; },
             [this] { return members; },
             {},
             {},
             [] { return true; }})
    , m_server(m_timers, HttpServerLimits(),
               [this](const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder) {
                   if (!m_api.handle(request, responder))
                       responder->send({404, {}, "not an operator's path"});
               })
{
    m_endpoint = {QStringLiteral("127.0.0.1"),
                  m_server.listenOn(QHostAddress::LocalHost, 0).value()};
}

HttpResponse OperatorServer::call(const QByteArray &method, const QByteArray &path,
                                  const QByteArray &body, const HttpHeaders &headers)
{
    std::optional<HttpResponse> answer;
    const auto exchange = m_client.fetch(
        m_endpoint, {method, path, {}, headers, body}, {},
        [&](HttpExchangeEnd end, const HttpResponse &response) {
            answer = end == HttpExchangeEnd::Complete ? response : HttpResponse{0, {}, {}};
        });
    waitFor([&] { return answer.has_value(); });
    return answer.value_or(HttpResponse{0, {}, {}});
}

HttpResponse OperatorServer::put(qint64 expected, const QJsonObject &document)
{
    return call("PUT", "/v1/configuration", QJsonDocument(document).toJson(),
                {{"Authorization", "Bearer " + Token},
                 {"If-Match", '"' + QByteArray::number(expected) + '"'}});
}

} // namespace cranberry::test
