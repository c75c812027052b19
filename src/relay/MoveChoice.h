#pragma once

#include "base/Units.h"
#include "relay/TargetChoice.h"

namespace cranberry {

/// Requirements of a generation that must move.
struct MoveNeed {
    /// Requirements on the new engine; the data centre is that of the current engine.
    TargetNeed need;
    /// Tokens currently in memory, all of which are copied.
    Tokens held;
    /// Time at which the link of the current engine is free for another copy.
    MonotonicTime sourceLinkFree;
};

/// A selected destination with its load and copy times.
struct MovePick {
    const TargetRecord *target = nullptr;
    /// Fraction of its capacity in use including the generation; 1 is full.
    double load = 0;
    /// Duration of the copy once it has started.
    Milliseconds copyTime{0};
    /// Expected completion time, taking other known copies into account.
    MonotonicTime copyDone;
};

/// Properties of a generation that determine its copy order when its engine leaves.
struct MoveCandidate {
    Tokens prompt;
    /// Output so far, and the output still expected.
    Tokens output;
    Tokens remaining;
    /// Time until its engine leaves.
    Milliseconds notice{0};
};

/// Returns a higher value for generations with more value per unit of link time. The link of an
/// engine carries five to seven copies within its notice period to the same data centre and half as
/// many to another; a copy that is not complete by then is useless. Thread-safe.
double movePriority(const MoveCandidate &candidate);

/// Returns the duration of copying @p held tokens from one engine to another. Thread-safe.
Milliseconds copyTime(const EngineTraits &engine, Tokens held, bool isCrossDataCentre);

/// Returns the engine that a generation moves to when its own leaves: the one with the lowest
/// combined cost of load and copy delay; a null target if none has room. Thread-safe.
MovePick chooseDestination(const QList<const TargetRecord *> &targets, const MoveNeed &move,
                           MonotonicTime now);

/// Whether to start a copy that would complete at @p copyDone. The minimum notice period of the
/// source ends at @p leavesAt; the source may stay somewhat longer. Until @p leavesAt only copies
/// that complete by then are started: any other copy delays the final rounds of copies that can
/// complete, and engines that leave at the same time would lose all their generations. Thread-safe.
bool shouldStartCopy(MonotonicTime copyDone, MonotonicTime leavesAt, MonotonicTime now);

} // namespace cranberry
