#pragma once

#include "base/Ids.h"
#include "base/StrongNumber.h"
#include "base/Units.h"

namespace cranberry {

/// Unique in the fleet.
using SuspicionId = StrongNumber<struct SuspicionIdTag>;

/// The order is that in which a state replaces another.
enum class SuspicionState {
    /// The request runs on the target, or it has not been decided yet what became of the target.
    Running,
    /// The target ended or fell silent while it ran the request.
    Suspected,
    /// The target survived the run, or did not run the request.
    Withdrawn,
};

/// What a run shows if it crashes its target.
enum class TrialKind {
    /// Nothing about one part of its prompt: it was not known to be suspected.
    None,
    /// The run was made to test the part, and no other part of its prompt was suspected.
    Single,
    /// Other parts of its prompt were suspected as well.
    Joint,
};

/// One run of a request that may have crashed its target.
struct CrashSuspicion {
    SuspicionId id;
    /// The daemon that sent the request to the target.
    VmId daemon;
    TargetId target;
    SuspicionState state = SuspicionState::Running;
    /// When the state last changed.
    MonotonicTime changedAt;
    /// Of a run in the record of a part.
    TrialKind trial = TrialKind::None;
};

/// The name used in log lines. Thread-safe.
const char *suspicionStateName(SuspicionState state);

} // namespace cranberry
