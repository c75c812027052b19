#pragma once

#include <QByteArray>

namespace cranberry {

/// The answer of an engine to a reservation.
struct ReservationOutcome {
    enum class Kind {
        Granted,
        /// No memory or batch slot is free.
        NoRoom,
        /// The address belongs to another target.
        Misdirected,
        /// No answer, or one that could not be interpreted.
        Unknown,
    };

    Kind kind = Kind::Unknown;
    /// Identifies the reservation in the request; set if it was granted.
    QByteArray id;
    /// HTTP status of the answer, for the log; 0 without an answer.
    int status = 0;
};

/// The name used in log lines. Thread-safe.
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
