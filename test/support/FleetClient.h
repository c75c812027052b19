// Defines FleetClient, the blocking HTTP calls of a test.
#pragma once

#include "base/QtTimerService.h"
#include "http/HttpClient.h"
#include "http/HttpRequest.h"
#include "http/HttpResponse.h"

#include <QJsonObject>

namespace cranberry::test {

class FleetStream;

/// What a test's call came to.
struct FleetAnswer {
    HttpExchangeEnd end = HttpExchangeEnd::NotConnected;
    HttpResponse response;
    /// The body, if it is a JSON object.
    QJsonObject json;

    bool is(int status) const
    {
        return end == HttpExchangeEnd::Complete && response.status == status;
    }
};

/// Runs the event loop of the calling thread while it waits.
/// Thread safety: only from its own thread.
class FleetClient
{
public:
    FleetClient();

    /// Sends @p request and waits for the whole answer, up to the options' timeout or 30 s.
    FleetAnswer call(const HttpEndpoint &endpoint, const HttpRequest &request);
    FleetAnswer get(const HttpEndpoint &endpoint, const QByteArray &path,
                    const HttpHeaders &headers = {});
    /// Sends @p body as JSON with @p method.
    FleetAnswer sendJson(const HttpEndpoint &endpoint, const QByteArray &method,
                         const QByteArray &path, const QJsonObject &body,
                         const HttpHeaders &headers = {});

    /// Sends @p body as JSON by POST and returns at once; the answer is collected as it comes.
    std::unique_ptr<FleetStream> post(const HttpEndpoint &endpoint, const QByteArray &path,
                                      const QJsonObject &body, const HttpHeaders &headers = {});

    TimerService &timers() { return m_timers; }
    HttpClient &http() { return m_http; }

private:
    QtTimerService m_timers;
    HttpClient m_http;
};

} // namespace cranberry::test
