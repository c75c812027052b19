#include "relay/ShutdownPlan.h"

#include <algorithm>

namespace cranberry {

namespace {

/// Covers a signal that is read late and an event loop that is busy.
constexpr Milliseconds MaxKillMargin{500};
/// Requests in progress until then are cut in the last sixth of the grace time, in which callers
/// expect that.
constexpr int MinGraceMargins = 8;

} // namespace

ShutdownPlan planShutdown(MonotonicTime now, Milliseconds grace)
{
    const Milliseconds margin = std::min(MaxKillMargin, grace / MinGraceMargins);
    // Half of the margin remains for answers to reach their callers.
    return {now, now + grace - margin, now + grace - margin / 2};
}

Milliseconds expectedDuration(const DurationEstimate &estimate)
{
    const Milliseconds observed = estimate.observed.value_or(estimate.objective);
    const Milliseconds first = estimate.isNew ? std::max(estimate.objective, observed) : observed;
    const Milliseconds output(
        qint64(double(estimate.output.value()) * std::max(estimate.msPerToken, 0.0)));
    return std::min(first + output, estimate.timeLeft);
}

bool isAnsweredBeforeShutdown(const ShutdownPlan &plan, MonotonicTime now, Milliseconds duration)
{
    return now + duration < plan.answersDue;
}

} // namespace cranberry
