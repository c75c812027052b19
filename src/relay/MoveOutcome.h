// Defines MoveOutcome, what became of an order to copy a running generation.
#pragma once

#include "base/Units.h"

#include <QByteArray>

namespace cranberry {

struct MoveOutcome {
    enum class Kind {
        Copied,
        /// The engine runs no such request.
        NoSuchRun,
        /// Another copy of it is under way.
        Busy,
        /// No room at the destination, or it is not reached.
        NoRoom,
        /// No answer, or one that says nothing.
        Unknown,
    };

    Kind kind = Kind::Unknown;
    /// Set whenever the source holds memory for it, also with NoRoom.
    QByteArray handle;
    /// Of the answer, for the log; 0 without one.
    int status = 0;
    /// Orders answered, and how long the first of them took: it carries nearly all of the memory.
    int rounds = 0;
    Milliseconds firstRound{0};
};

/// The name in log lines. Thread-safe.
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
    case MoveOutcome::Kind::Unknown:
        break;
    }
    return "unknown";
}

} // namespace cranberry
