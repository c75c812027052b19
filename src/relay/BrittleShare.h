#pragma once

#include "base/Units.h"

#include <QList>

#include <optional>

namespace cranberry {

/// A brittle target fails if it rejects too many requests for lack of room. Daemons that choose the
/// same target at the same time would exceed its room together, so that each keeps to its own part:
/// the slots of all targets of the service are dealt to the daemons in turn. The parts are disjoint
/// as long as the daemons know the same targets and daemons; they need no messages.

/// Returns the number of slots of target @p index that a daemon may use. @p slots holds the slots
/// of all targets, in the same order at every daemon; @p rank is the daemon's place among
/// @p daemons. Precondition: index and rank are within their ranges. Thread-safe.
int brittleShare(const QList<int> &slots, qsizetype index, int rank, int daemons);

/// What the answers of a service say about its brittleness.
struct BrittleEvidence {
    /// Rejections per second that a target withstands; unset if it is not brittle.
    std::optional<double> rejectionsPerSecond;
    /// When the request was sent whose answer said so.
    MonotonicTime asked;
};

/// Returns the newer of both; answers overtake each other. Thread-safe.
BrittleEvidence newerEvidence(const BrittleEvidence &a, const BrittleEvidence &b);

} // namespace cranberry
