#include "delivery/SendFailure.h"

#include <QJsonDocument>
#include <QJsonObject>

namespace cranberry {

namespace {

constexpr int StatusTooManyRequests = 429;
constexpr int StatusUnavailable = 503;

} // namespace

Ran ranAfter(SendFailure failure)
{
    switch (failure) {
    case SendFailure::NotConnected:
    case SendFailure::RefusedBeforeStart:
    case SendFailure::RefusedAsLeaving:
    case SendFailure::CancelledBeforeStart:
        return Ran::No;
    case SendFailure::CancelledAfterStart:
    case SendFailure::BrokenAfterStart:
        return Ran::Yes;
    case SendFailure::ErrorAnswer:
    case SendFailure::BrokenBeforeAnswer:
    case SendFailure::MalformedAnswer:
        break;
    }
    return Ran::Maybe;
}

AttemptOutcome outcomeAfter(SendFailure failure)
{
    switch (failure) {
    case SendFailure::RefusedAsLeaving:
        return AttemptOutcome::Leaving;
    case SendFailure::RefusedBeforeStart:
    case SendFailure::CancelledBeforeStart:
    case SendFailure::CancelledAfterStart:
    case SendFailure::ErrorAnswer:
        return AttemptOutcome::Refused;
    case SendFailure::NotConnected:
        return AttemptOutcome::NotConnected;
    case SendFailure::BrokenBeforeAnswer:
    case SendFailure::MalformedAnswer:
    case SendFailure::BrokenAfterStart:
        break;
    }
    return AttemptOutcome::ConnectionLost;
}

const char *sendFailureName(SendFailure failure)
{
    switch (failure) {
    case SendFailure::NotConnected:
        return "not_connected";
    case SendFailure::RefusedBeforeStart:
        return "refused_before_start";
    case SendFailure::RefusedAsLeaving:
        return "refused_as_leaving";
    case SendFailure::CancelledBeforeStart:
        return "cancelled_before_start";
    case SendFailure::CancelledAfterStart:
        return "cancelled_after_start";
    case SendFailure::ErrorAnswer:
        return "error_answer";
    case SendFailure::BrokenBeforeAnswer:
        return "broken_before_answer";
    case SendFailure::MalformedAnswer:
        return "malformed_answer";
    case SendFailure::BrokenAfterStart:
        return "broken_after_start";
    }
    return "unknown";
}

SendFailure failureOfExchange(HttpExchangeEnd end, bool answerBegan)
{
    if (end == HttpExchangeEnd::NotConnected)
        return SendFailure::NotConnected;
    if (answerBegan)
        return SendFailure::BrokenAfterStart;
    if (end == HttpExchangeEnd::Malformed)
        return SendFailure::MalformedAnswer;
    return SendFailure::BrokenBeforeAnswer;
}

SendFailure failureOfAnswer(int status, const QByteArray &body)
{
    const bool mayBeRefusal = status == StatusTooManyRequests || status == StatusUnavailable;
    if (!mayBeRefusal)
        return SendFailure::ErrorAnswer;
    const QJsonObject answer = QJsonDocument::fromJson(body).object();
    const QJsonValue started = answer.value(QStringLiteral("started"));
    // An intermediate proxy may answer 503 for a request that did reach the target, so only the
    // target's own "started" member counts.
    if (!started.isBool() || started.toBool())
        return SendFailure::ErrorAnswer;
    return answer.value(QStringLiteral("leaving")).toBool() ? SendFailure::RefusedAsLeaving
                                                            : SendFailure::RefusedBeforeStart;
}

} // namespace cranberry
