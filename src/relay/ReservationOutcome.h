// Defines ReservationOutcome, what an engine says to a request for room.
#pragma once

#include <QByteArray>

namespace cranberry {

struct ReservationOutcome {
    enum class Kind {
        Granted,
        /// The memory or the place is not free.
        NoRoom,
        /// Another target has the address.
        Misdirected,
        /// No answer, or one that says nothing.
        Unknown,
    };

    Kind kind = Kind::Unknown;
    /// By which the request names it; set if it was granted.
    QByteArray id;
    /// Of the answer, for the log; 0 without one.
    int status = 0;
};

/// The name in log lines. Thread-safe.
inline const char *reservationOutcomeName(ReservationOutcome::Kind kind)
{
    switch (kind) {
    case ReservationOutcome::Kind::Granted:
        return "granted";
    case ReservationOutcome::Kind::NoRoom:
        return "no_room";
    case ReservationOutcome::Kind::Misdirected:
        return "misdirected";
    case ReservationOutcome::Kind::Unknown:
        break;
    }
    return "unknown";
}

} // namespace cranberry
