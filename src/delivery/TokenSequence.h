#pragma once

#include "base/Ids.h"

namespace cranberry {

/// Delivery progress of the answer to one request.
struct TokenSequence {
    /// The attempt that this answer is taken from; set with the first token and constant after.
    AttemptId generation;
    /// Index of the next event to deliver.
    qint64 next = 0;
    /// Whether the last event was delivered.
    bool complete = false;
};

/// Whether an event may be delivered, or the reason why not.
enum class TokenVerdict {
    Deliver,
    /// The event was already delivered: a resumed stream replays it, or the target duplicated it.
    Duplicate,
    /// The event belongs to another generation than the one chosen for the answer.
    OtherGeneration,
    /// A preceding event is missing; the stream cannot continue and has to be resumed.
    Gap,
    /// The answer was already complete.
    AfterEnd,
};

/// Decides whether event @p index of @p attempt may be delivered next, and records it if so.
/// This rule alone ensures that each token is delivered once, in order and from one generation,
/// even if streams deliver events late, duplicated or interleaved. @p isLast: the event is the
/// last one of the generation.
/// Thread safety: none; the caller owns @p sequence.
TokenVerdict acceptToken(TokenSequence &sequence, const AttemptId &attempt, qint64 index,
                         bool isLast);

} // namespace cranberry
