#include "relay/RateEvidence.h"

#include <algorithm>

namespace cranberry {

RateEvidence mergeEvidence(const RateEvidence &known, const RateEvidence &news)
{
    if (known.perSecond && !news.perSecond)
        return news.asked > known.answered ? news : known;
    if (!known.perSecond && news.perSecond)
        return news.answered > known.asked ? news : known;
    RateEvidence merged = news.asked >= known.asked ? news : known;
    merged.answered = std::max(known.answered, news.answered);
    return merged;
}

} // namespace cranberry
