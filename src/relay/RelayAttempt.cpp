#include "relay/RelayAttempt.h"

#include "base/TimerService.h"
#include "base/TimerSubscription.h"
#include "relay/AnswerProof.h"
#include "relay/AttemptPlan.h"
#include "relay/BrittleServices.h"
#include "relay/CrashGuard.h"
#include "relay/ReachMonitor.h"
#include "relay/RelayAttemptEnd.h"
#include "relay/RelayContext.h"
#include "relay/RelayRequest.h"
#include "relay/TargetCall.h"
#include "relay/TargetClient.h"
#include "relay/TargetLimits.h"

namespace cranberry {

namespace {

/// A reachable target in the region accepts a connection within 5 ms. No byte of the request has
/// been sent yet, so an early timeout is safe.
constexpr Milliseconds ConnectTimeout{300};
/// A target that answers plain requests and takes longer may be unreachable; a stream begins after
/// its prompt is read.
constexpr Milliseconds PlainPatience{300};
constexpr Milliseconds StreamPatience{2000};

/// A larger answer is cut off if callers hold too much memory.
constexpr qsizetype MaxBodyWithoutRoom = 64 * 1024;

HttpExchangeOptions optionsFor(const RelayRequest &request, Milliseconds maxIdle, bool requireNamed)
{
    HttpExchangeOptions options;
    options.connectTimeout = ConnectTimeout;
    options.reuseConnection = maxIdle.count() > 0;
    options.keepConnection = true;
    options.maxIdleTime = maxIdle;
    options.requireNamed = requireNamed;
    options.confirmClose = true;
    options.echoValue = request.id.text().toUtf8();
    return options;
}

} // namespace

Ran ranAfter(SendResult::Kind kind)
{
    switch (kind) {
    case SendResult::Kind::NotConnected:
    case SendResult::Kind::NotExecuted:
    case SendResult::Kind::Misdirected:
    case SendResult::Kind::Withheld:
        return Ran::No;
    case SendResult::Kind::Answered:
        return Ran::Yes;
    case SendResult::Kind::Broken:
    case SendResult::Kind::Invalid:
        break;
    }
    return Ran::Maybe;
}

bool isWholeStream(const SendResult &result)
{
    return result.kind == SendResult::Kind::Answered && result.isStream;
}

SendResult afterStopOrder(SendResult result)
{
    result.end = judgeAfterStopOrder(result.end, result.framing);
    if (result.end == AnswerEnd::Stopped) {
        result.kind = SendResult::Kind::Broken;
        result.reason = QStringLiteral("closed by the peer, which was ordered to stop");
    }
    return result;
}

const char *sendResultName(SendResult::Kind kind)
{
    switch (kind) {
    case SendResult::Kind::Answered:
        return "answered";
    case SendResult::Kind::NotConnected:
        return "not_connected";
    case SendResult::Kind::NotExecuted:
        return "not_executed";
    case SendResult::Kind::Withheld:
        return "withheld";
    case SendResult::Kind::Misdirected:
        return "misdirected";
    case SendResult::Kind::Broken:
        return "broken";
    case SendResult::Kind::Invalid:
        return "spoilt";
    }
    return "unknown";
}

RelayAttemptEnd attemptEndOf(const SendResult &result)
{
    switch (result.kind) {
    case SendResult::Kind::Answered:
        return isSuccess(result.head) ? RelayAttemptEnd::Completed : RelayAttemptEnd::Answered;
    case SendResult::Kind::NotConnected:
    case SendResult::Kind::NotExecuted:
    case SendResult::Kind::Misdirected:
    case SendResult::Kind::Withheld:
        return RelayAttemptEnd::NotRun;
    case SendResult::Kind::Broken:
    case SendResult::Kind::Invalid:
        break;
    }
    return RelayAttemptEnd::Broken;
}

RelayAttempt::RelayAttempt(RelayContext &context, const RelayRequest &request,
                           const HttpEndpoint &endpoint, const AttemptPlan &plan,
                           Milliseconds maxIdle, RelayAttemptCallbacks callbacks)
    : m_context(context)
    , m_request(request)
    , m_callbacks(std::move(callbacks))
    , m_target(plan.target)
    , m_sentAt(context.timers.now())
    , m_proof(AnswerProof::None)
    , m_bodyCharge(context.callerMemory)
    , m_alive(std::make_shared<bool>(true))
{
    HttpExchangeCallbacks events;
    events.headers = [this](int status, const HttpHeaders &headers) {
        headersReceived(status, headers);
    };
    events.body = [this](const QByteArray &data) { bodyReceived(data); };
    events.finished = [this](HttpExchangeEnd end, const QString &reason) { finished(end, reason); };
    const CallPurpose purpose = plan.resumeFrom ? CallPurpose::Continuation : CallPurpose::Request;
    m_exchange = context.targetClient.send(
        {m_target, endpoint, purpose}, context.targetProtocol.attempt(request, plan),
        // The connection of the reservation is used, though its answer bears no id.
        optionsFor(request, maxIdle, plan.reservation.isEmpty()), std::move(events));
    if (!m_exchange) {
        m_withheldTimer = context.timers.after(Milliseconds(0), [this] { withheld(); });
        return;
    }
    m_context.limits.recordSent(m_target);
    m_context.reach.recordSent(m_target, m_callbacks.event ? StreamPatience : PlainPatience);
}

RelayAttempt::~RelayAttempt() = default;

void RelayAttempt::withheld()
{
    SendResult result;
    result.kind = SendResult::Kind::Withheld;
    result.reason = QStringLiteral("the target takes no such request now");
    const auto callback = std::move(m_callbacks.ended);
    callback(result);
}

void RelayAttempt::headersReceived(int status, const HttpHeaders &headers)
{
    m_head = m_context.targetProtocol.answerHead(m_request, status, headers);
    m_hasHead = true;
    m_isUncertain = m_exchange->responseMatch() == ResponseMatch::Uncertain;
    m_proof = proofOf(m_head, m_exchange->responseMatch(), m_exchange->isFirstResponse());
    m_context.reach.recordAnswer(m_target, m_exchange->isNewConnection());
    m_context.limits.recordAnswer(m_target, m_head, m_sentAt);
    m_context.brittle.recordAnswer(m_target, m_head, m_sentAt);
    m_context.crashGuard.attempts().answered(m_target, m_sentAt);
    m_isStream = m_callbacks.event && isSuccess(m_head) && m_head.isSealed && !m_head.isUnusable
        && !m_isUncertain;
    if (!m_isStream)
        return;
    const auto began = m_callbacks.began;
    began(m_head);
}

void RelayAttempt::bodyReceived(const QByteArray &data)
{
    if (!m_isStream) {
        m_body += data;
        m_bodyCharge.set(Bytes(m_body.capacity()));
        if (m_body.size() > m_context.maxAnswer.value())
            cutOff(QStringLiteral("the body is larger than %1 bytes")
                       .arg(m_context.maxAnswer.value()));
        else if (!m_bodyCharge.makeRoom() && m_body.size() > MaxBodyWithoutRoom)
            cutOff(QStringLiteral("no memory left for the answer"));
        return;
    }
    m_context.crashGuard.attempts().heard(m_target);
    const std::weak_ptr<bool> alive = m_alive;
    const auto callback = m_callbacks.event;
    for (const ServerSentEvent &event : m_events.feed(data)) {
        callback(event);
        if (alive.expired())
            return;
    }
    if (m_events.isMalformed())
        cutOff(QStringLiteral("an event is too large"));
}

void RelayAttempt::cutOff(const QString &reason)
{
    m_framing = m_exchange->framing();
    // Closes the connection.
    m_exchange.reset();
    m_body.clear();
    finished(HttpExchangeEnd::Malformed, reason);
}

SendResult::Kind RelayAttempt::classify(HttpExchangeEnd end, AnswerEnd answerEnd) const
{
    if (end == HttpExchangeEnd::NotConnected)
        return SendResult::Kind::NotConnected;
    if (m_isUncertain)
        return SendResult::Kind::Invalid;
    if (m_proof == AnswerProof::Misdirected)
        return SendResult::Kind::Misdirected;
    if (m_proof == AnswerProof::NotExecuted)
        return SendResult::Kind::NotExecuted;
    if (end == HttpExchangeEnd::Malformed)
        return SendResult::Kind::Invalid;
    if (answerEnd != AnswerEnd::Whole)
        return SendResult::Kind::Broken;
    if (m_head.isUnusable || (isSuccess(m_head) && !m_head.isSealed))
        return SendResult::Kind::Invalid;
    return SendResult::Kind::Answered;
}

void RelayAttempt::finished(HttpExchangeEnd end, const QString &reason)
{
    if (!m_hasHead)
        m_context.reach.recordNoAnswer(m_target, m_exchange->isNewConnection());
    SendResult result;
    result.framing = m_exchange ? m_exchange->framing() : m_framing;
    result.end = judgeAnswerEnd(end, m_isStream && m_events.isInsideEvent());
    result.kind = classify(end, result.end);
    result.head = m_head;
    result.isStream = m_isStream;
    result.body = m_body;
    if (m_exchange) {
        result.connection = m_exchange->connectionUse();
        result.skippedResponses = m_exchange->skippedResponses();
    }
    if (m_isUncertain)
        result.reason = QStringLiteral("the answer may be that of an earlier call");
    else if (result.end == AnswerEnd::InsideEvent)
        result.reason = QStringLiteral("the stream ended inside an event");
    else
        result.reason = reason;
    const auto callback = std::move(m_callbacks.ended);
    callback(result);
}

} // namespace cranberry
