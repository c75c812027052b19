// Defines OperatorServer, the operators' paths of one daemon behind a server of their own.
#pragma once

#include "gateway/OperatorApi.h"
#include "http/HttpClient.h"
#include "http/HttpServer.h"
#include "support/ConfigurationDaemon.h"

namespace cranberry::test {

/// Thread safety: one thread, in which an event loop runs.
class OperatorServer
{
public:
    static const QByteArray Token;

    /// The configuration is that on @p table. Listens on a free port of 127.0.0.1.
    OperatorServer(const QString &vm, std::shared_ptr<MemoryKeyValueTable> table);

    /// Sends a request and waits for the answer; status 0 if there was none.
    HttpResponse call(const QByteArray &method, const QByteArray &path, const QByteArray &body = {},
                      const HttpHeaders &headers = {{"Authorization", "Bearer " + Token}});
    /// PUT of @p document with If-Match @p expected.
    HttpResponse put(qint64 expected, const QJsonObject &document);

    HttpEndpoint endpoint() const { return m_endpoint; }
    QString url() const { return QStringLiteral("http://127.0.0.1:%1").arg(m_endpoint.port); }

    /// What /v1/status says of the members.
    QJsonArray members;

private:
    QtTimerService m_timers;

public:
    ConfigurationDaemon daemon;

private:
    OperatorApi m_api;
    HttpServer m_server;
    HttpClient m_client{m_timers};
    HttpEndpoint m_endpoint;
};

} // namespace cranberry::test
