// Defines ClaimCounts, what claims cost the platform's service.
#pragma once

#include <QtGlobal>

namespace cranberry {

struct ClaimCounts {
    qint64 reads = 0;
    qint64 writes = 0;
    /// Claims that this daemon wrote, for itself or for others.
    qint64 won = 0;
    qint64 held = 0;
    /// Claims whose outcome could not be settled in time or that the service did not take.
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
