// Defines DistanceCosts, by how much a target in another data centre must be better.
#pragma once

namespace cranberry {

struct DistanceCosts {
    /// Load by which any target in another data centre must be better; 1 is a full target.
    double away = 0;
    /// The same for one of which its data centre has not told lately, so that it may be full.
    double unknown = 0;
    /// Targets in other data centres that are looked at for one request, drawn at random; zero
    /// looks at all. Where loads there are half a second old, all daemons that look at all choose
    /// the one that was empty then: a new engine got prompts for two seconds at once.
    int mostAway = 0;
};

} // namespace cranberry
