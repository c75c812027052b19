#include "delivery/TokenSequence.h"

namespace cranberry {

TokenVerdict acceptToken(TokenSequence &sequence, const AttemptId &attempt, qint64 index,
                         bool isLast)
{
    const bool chosen = !sequence.generation.isEmpty();
    if (chosen && attempt != sequence.generation)
        return TokenVerdict::OtherGeneration;
    if (sequence.complete)
        return TokenVerdict::AfterEnd;
    if (index < sequence.next)
        return TokenVerdict::Duplicate;
    if (index > sequence.next)
        return TokenVerdict::Gap;
    sequence.generation = attempt;
    sequence.next = index + 1;
    sequence.complete = isLast;
    return TokenVerdict::Deliver;
}

} // namespace cranberry
