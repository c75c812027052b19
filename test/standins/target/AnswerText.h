// Defines the answers of the stand-in engine as they go over the wire.
#pragma once

#include "base/TimerService.h"

#include <QByteArray>
#include <QString>

namespace cranberry::test {

struct Generation;

/// What is known of an answer beside the engine's own state.
struct Answer {
    QByteArray promptHash;
    QByteArray key;
    QByteArray salt;
    QByteArray workspace;
    QString prompt;
    bool chat = false;
    /// The request's bound cut it, and not the length drawn.
    bool cutByBound = false;
    /// Unset until its last token came about.
    MonotonicTime finishedAt;
};

/// The server-sent event of token @p index of generation @p attempt.
QByteArray tokenEvent(const QByteArray &attempt, const Answer &answer, int index);

/// The events that close the stream of a finished generation.
QByteArray lastEvent(const Generation &generation, const Answer &answer);

/// The body of an answer that is not streamed. Precondition: the generation is finished.
QByteArray wholeAnswer(const Generation &generation, const Answer &answer);

} // namespace cranberry::test
