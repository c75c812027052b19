#pragma once

namespace cranberry {

/// The cost of choosing a target in another data centre.
struct DistanceCosts {
    /// Load added to the score of a target in another data centre; 1 is a full target.
    double otherDataCentre = 0;
    /// Additional load if the data centre of that target has not reported on it recently, so that
    /// it may be full.
    double unreported = 0;
    /// Number of randomly chosen targets in other data centres that are considered for one request;
    /// zero considers all. With load figures from other data centres that are half a second old,
    /// daemons that consider all targets choose the same one that was empty then: a new engine
    /// received the prompts of two seconds at once.
    int maxRemoteCandidates = 0;
};

} // namespace cranberry
