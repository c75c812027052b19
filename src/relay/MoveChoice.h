// Defines chooseDestination, to which engine a generation moves when its own leaves.
#pragma once

#include "base/Units.h"
#include "relay/TargetChoice.h"

namespace cranberry {

/// A generation that must move.
struct MoveNeed {
    /// What it needs of an engine; the data centre is that of its present engine.
    TargetNeed need;
    /// Tokens in memory now, which are to be copied.
    Tokens held;
    /// When the link of its present engine is free for another copy.
    MonotonicTime sourceFree;
};

/// A chosen destination and the figures that decided.
struct MovePick {
    const TargetRecord *target = nullptr;
    /// Part of its capacity that is taken with the generation, 1 is full.
    double load = 0;
    /// How long the copy takes once it begins.
    Milliseconds copyTime{0};
    /// When it is there, by what is known of other copies.
    MonotonicTime copied;
};

/// What decides which of the generations of a leaving engine are copied first.
struct MoveCandidate {
    Tokens prompt;
    /// Output so far, and by the forecast still to come.
    Tokens made;
    Tokens left;
    /// Until its engine leaves.
    Milliseconds notice{0};
};

/// Greater for generations that are worth more for the time that they take of the link. An engine's
/// link carries five to seven copies within its notice in a data centre and half as many to
/// another, and a copy that is not complete by then is worth nothing. Thread-safe.
double movePriority(const MoveCandidate &candidate);

/// How long @p held tokens of an engine take to another one. Thread-safe.
Milliseconds copyTime(const EngineTraits &engine, Tokens held, bool isAcross);

/// The destination at which the copy arrives early and the generation finds room; none if no
/// target has any. Thread-safe.
MovePick chooseDestination(const QList<const TargetRecord *> &targets, const MoveNeed &move,
                           MonotonicTime now);

/// Whether a copy that is there at @p copied is begun now. The source's least notice ends at
/// @p leavesAt, and it may stay a while longer. Until then only copies that arrive by then are
/// begun: any other one takes the link from the last parts of those that could go on, and engines
/// that leave together would lose all their generations that way. Thread-safe.
bool isBegunNow(MonotonicTime copied, MonotonicTime leavesAt, MonotonicTime now);

} // namespace cranberry
