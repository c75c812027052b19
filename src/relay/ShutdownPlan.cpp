#include "relay/ShutdownPlan.h"

#include <algorithm>

namespace cranberry {

namespace {

/// Covers a signal that is read late and an event loop that is busy.
constexpr Milliseconds MaxKillMargin{500};
/// The margin is at most this part of the grace time. The platform lets requests be cut only in the
/// last sixth.
constexpr int MarginDivisor = 8;

} // namespace

ShutdownPlan planShutdown(MonotonicTime now, Milliseconds grace)
{
    const Milliseconds margin = std::min(MaxKillMargin, grace / MarginDivisor);
    // Half of the margin remains for answers to reach their callers.
    return {now, now + grace - margin, now + grace - margin / 2};
}

Milliseconds expectedDuration(const DurationEstimate &estimate)
{
    const Milliseconds observed = estimate.observed.value_or(estimate.objective);
    const Milliseconds first = estimate.isNew ? std::max(estimate.objective, observed) : observed;
    // Callers may name any output: the sum is formed in floating point.
    const double total = double(first.count())
        + double(estimate.output.value()) * std::max(estimate.msPerToken, 0.0);
    return total < double(estimate.timeLeft.count()) ? Milliseconds(qint64(total))
                                                     : estimate.timeLeft;
}

bool isAnsweredBeforeShutdown(const ShutdownPlan &plan, MonotonicTime now, Milliseconds duration)
{
    return now + duration < plan.answersDue;
}

} // namespace cranberry
