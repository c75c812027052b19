#pragma once

#include "base/Ids.h"
#include "base/Result.h"

#include <QByteArray>

namespace cranberry {

struct ServerSentEvent;

/// One event of a target's streamed answer.
struct TokenEvent {
    /// The attempt that the event states as its origin.
    AttemptId attempt;
    /// Position in the answer, counted from 0.
    qint64 index = 0;
    /// The JSON object exactly as the target sent it.
    QByteArray data;
    QString text;
    /// "stop" or "length" in the last event; empty otherwise.
    QString finishReason;
    /// Token usage in the last event, as JSON; empty otherwise.
    QByteArray usage;

    bool isLast() const { return !finishReason.isEmpty(); }
};

/// Parses @p event. Error TargetFailed: the event violates the target protocol. Thread-safe.
Result<TokenEvent> parseTokenEvent(const ServerSentEvent &event);

} // namespace cranberry
