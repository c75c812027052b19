// Defines DistanceCosts, by how much a target in another data centre must be better.
#pragma once

namespace cranberry {

/// Both are loads: 1 is a full target.
struct DistanceCosts {
    /// Of any target in another data centre.
    double away = 0;
    /// Of one there of which its data centre has not told lately, so that it may be full.
    double unknown = 0;
};

} // namespace cranberry
