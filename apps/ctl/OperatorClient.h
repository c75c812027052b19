#pragma once

#include "base/QtTimerService.h"
#include "http/HttpClient.h"

#include <QJsonObject>

namespace cranberry::ctl {

/// The response of a daemon to one request, or the reason why there is none.
struct OperatorResponse {
    /// HTTP status; 0 if no response arrived.
    int status = 0;
    HttpHeaders headers;
    QJsonObject body;
    /// Why no response arrived, or the error that the daemon reported; empty on success.
    QString problem;

    bool isSuccess() const { return status == 200; }
};

/// Sends requests to the operator API of daemons and blocks until each one ends.
/// Thread safety: only from one thread, outside any running event loop.
class OperatorClient
{
public:
    /// @p token is sent as bearer token in the Authorization header of each request.
    explicit OperatorClient(QByteArray token)
        : m_token(std::move(token))
    {
    }

    /// Sends GET @p path to @p daemon.
    OperatorResponse get(const HttpEndpoint &daemon, const QByteArray &path);
    /// Submits @p document as the version that follows @p expectedVersion.
    OperatorResponse putConfiguration(const HttpEndpoint &daemon, qint64 expectedVersion,
                                      const QJsonObject &document);

private:
    OperatorResponse call(const HttpEndpoint &daemon, const HttpRequest &request);

    const QByteArray m_token;
    QtTimerService m_timers;
    HttpClient m_client{m_timers};
};

} // namespace cranberry::ctl
