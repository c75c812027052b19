// Defines TokenSequence, the rule of which events of targets reach the caller.
#pragma once

#include "base/Ids.h"

namespace cranberry {

/// How far the answer to one request has come.
struct TokenSequence {
    /// The generation chosen for this answer; set with the first token and never changed after.
    AttemptId generation;
    /// Index of the next event to deliver.
    qint64 next = 0;
    /// The last event was delivered.
    bool complete = false;
};

enum class TokenVerdict {
    Deliver,
    /// It was delivered before: a resumed stream replays, or the target doubled it.
    Duplicate,
    /// It belongs to another generation than the one chosen.
    OtherGeneration,
    /// An event before it is missing; this stream cannot go on and has to be resumed.
    Gap,
    /// The answer was complete before.
    AfterEnd,
};

/// Whether the event @p index of @p attempt may be delivered next; records it if so. With
/// this rule alone each token is delivered once, in order, from one generation, whatever
/// streams bring late, doubled or crossed. @p isLast: it is the last event of the generation.
/// Thread safety: none; the caller owns @p sequence.
TokenVerdict acceptToken(TokenSequence &sequence, const AttemptId &attempt, qint64 index,
                         bool isLast);

} // namespace cranberry
