// Defines OperatorClient, the operators' paths of daemons as calls that wait.
#pragma once

#include "base/QtTimerService.h"
#include "http/HttpClient.h"

#include <QJsonObject>

namespace cranberry::ctl {

/// What a daemon answered.
struct OperatorAnswer {
    /// 0 if no answer came.
    int status = 0;
    HttpHeaders headers;
    QJsonObject body;
    /// Why no answer came, or what the daemon said against the request; else empty.
    QString problem;

    bool isSuccess() const { return status == 200; }
};

/// Thread safety: only from one thread, without an event loop running outside.
class OperatorClient
{
public:
    /// @p token goes into the Authorization header of each call.
    explicit OperatorClient(QByteArray token)
        : m_token(std::move(token))
    {
    }

    OperatorAnswer get(const HttpEndpoint &daemon, const QByteArray &path);
    /// Submits @p document as the successor of @p expected.
    OperatorAnswer put(const HttpEndpoint &daemon, qint64 expected, const QJsonObject &document);

private:
    OperatorAnswer call(const HttpEndpoint &daemon, const HttpRequest &request);

    const QByteArray m_token;
    QtTimerService m_timers;
    HttpClient m_client{m_timers};
};

} // namespace cranberry::ctl
