#pragma once

#include "base/Units.h"

#include <QByteArray>

namespace cranberry {

/// The result of an order to copy a running generation.
struct MoveOutcome {
    enum class Kind {
        Copied,
        /// The engine runs no such request.
        NoSuchRun,
        /// Another copy of the generation is in progress.
        Busy,
        /// The destination has no room or is unreachable.
        NoRoom,
        /// The order was not sent: the engine did not accept the connection.
        NotSent,
        /// No answer, or one that could not be interpreted.
        Unknown,
    };

    Kind kind = Kind::Unknown;
    /// Set if the source holds memory for the copy, which is possible with NoRoom too.
    QByteArray handle;
    /// HTTP status of the answer, for the log; 0 without an answer.
    int status = 0;
    /// Number of orders answered, and the duration of the first, which copies nearly all of the
    /// memory.
    int rounds = 0;
    Milliseconds firstRound{0};
};

/// The name used in log lines. Thread-safe.
inline const char *moveOutcomeName(MoveOutcome::Kind kind)
{
    switch (kind) {
    case MoveOutcome::Kind::Copied:
        return "copied";
    case MoveOutcome::Kind::NoSuchRun:
        return "no_such_run";
    case MoveOutcome::Kind::Busy:
        return "busy";
    case MoveOutcome::Kind::NoRoom:
        return "no_room";
    case MoveOutcome::Kind::NotSent:
        return "not_sent";
    case MoveOutcome::Kind::Unknown:
        break;
    }
    return "unknown";
}

/// Whether an engine that was ordered to stop a generation may have stopped it. Thread-safe.
inline bool mayHaveStopped(MoveOutcome::Kind kind)
{
    return kind != MoveOutcome::Kind::NoSuchRun && kind != MoveOutcome::Kind::Busy
        && kind != MoveOutcome::Kind::NotSent;
}

} // namespace cranberry
