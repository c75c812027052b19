#pragma once

#include "base/Units.h"

#include <algorithm>
#include <cmath>

namespace cranberry {

/// The longest duration that is taken from another process. A longer one is not told from one
/// without end, and a sum with the time of a clock would overflow.
constexpr Milliseconds MaxForeignDuration{qint64(365) * 24 * 3600 * 1000};

/// A duration that another process sent, limited to 0 to MaxForeignDuration. Thread-safe.
inline Milliseconds boundedDuration(qint64 milliseconds)
{
    return std::clamp(Milliseconds(milliseconds), Milliseconds(0), MaxForeignDuration);
}

/// As above; 0 if @p milliseconds is not a number. Thread-safe.
inline Milliseconds boundedDuration(double milliseconds)
{
    const double limit = double(MaxForeignDuration.count());
    return Milliseconds(std::isnan(milliseconds) ? 0
                                                 : qint64(std::clamp(milliseconds, 0.0, limit)));
}

} // namespace cranberry
