#pragma once

#include <QtGlobal>

namespace cranberry {

/// Calls on the platform's store and outcomes of claims.
struct ClaimCounts {
    qint64 reads = 0;
    qint64 writes = 0;
    /// Claims that this daemon wrote, for itself or for other daemons.
    qint64 won = 0;
    qint64 held = 0;
    /// Claims that the store did not accept or whose outcome could not be determined in time.
    qint64 unavailable = 0;

    ClaimCounts &operator+=(const ClaimCounts &other)
    {
        reads += other.reads;
        writes += other.writes;
        won += other.won;
        held += other.held;
        unavailable += other.unavailable;
        return *this;
    }
};

} // namespace cranberry
