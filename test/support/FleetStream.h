// Defines FleetStream, one request of a test and its answer as it comes.
#pragma once

#include "http/HttpExchange.h"
#include "http/HttpResponse.h"
#include "support/AnswerReader.h"

#include <memory>
#include <optional>

namespace cranberry {

class HttpClient;
class TimerService;
struct HttpExchangeOptions;
struct HttpRequest;

namespace test {

/// Sends a request and collects status, headers, body and, of a stream, its events.
/// Destroying it closes the connection, as a caller that leaves.
/// Thread safety: only from the thread of the client.
class FleetStream
{
public:
    /// Precondition: @p client and @p timers outlive the stream.
    FleetStream(HttpClient &client, TimerService &timers, const HttpEndpoint &endpoint,
                const HttpRequest &request, const HttpExchangeOptions &options);
    FleetStream(const FleetStream &) = delete;
    FleetStream &operator=(const FleetStream &) = delete;

    /// How the exchange ended; empty while it runs.
    std::optional<HttpExchangeEnd> end() const { return m_end; }
    bool isOver() const { return m_end.has_value(); }
    /// 0 until the headers came.
    int status() const { return m_response.status; }
    /// Status, headers and all of the body so far.
    const HttpResponse &response() const { return m_response; }
    /// The body as JSON; empty if it is none.
    QJsonObject json() const;

    /// The kind of the failure that the caller was told, as an answer or as the last event of a
    /// stream; empty if it was told none.
    QString problemKind() const;

    const AnswerReader &answer() const { return m_answer; }
    int tokenCount() const { return m_answer.tokens().size(); }
    /// True if the stream ended regularly with all its tokens numbered from 0 on.
    bool isWhole() const;

    /// Waits until at least @p count tokens came; false if the stream ends before.
    bool waitForTokens(int count);
    /// Waits for the end of the exchange.
    bool waitOver();

private:
    TimerService &m_timers;
    HttpResponse m_response;
    AnswerReader m_answer;
    std::optional<HttpExchangeEnd> m_end;
    std::unique_ptr<HttpExchange> m_exchange;
};

} // namespace test
} // namespace cranberry
