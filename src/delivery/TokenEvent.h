// Defines TokenEvent, one event of a target's streamed answer.
#pragma once

#include "base/Ids.h"
#include "base/Result.h"

#include <QByteArray>

namespace cranberry {

struct ServerSentEvent;

struct TokenEvent {
    /// The generation it says it belongs to.
    AttemptId attempt;
    /// Position in the answer, from 0.
    qint64 index = 0;
    /// The JSON object as the target wrote it.
    QByteArray data;
    QString text;
    /// Set on the last event: "stop" or "length".
    QString finishReason;
    /// Usage of the last event, as JSON; empty otherwise.
    QByteArray usage;

    bool isLast() const { return !finishReason.isEmpty(); }
};

/// Reads @p event. Error TargetFailed: it is not of the target protocol. Thread-safe.
Result<TokenEvent> parseTokenEvent(const ServerSentEvent &event);

} // namespace cranberry
