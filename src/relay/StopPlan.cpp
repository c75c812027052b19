#include "relay/StopPlan.h"

#include "relay/MoveOutcome.h"

#include <algorithm>

namespace cranberry {

namespace {

constexpr Milliseconds RepeatInterval{40};
/// A final copy is answered within this time if the link is free.
constexpr Milliseconds AnswerTime{120};
/// Orders to an engine that is copying the generation before the interval is doubled.
constexpr int OrdersPerDoubling = 16;
constexpr int MaxDoublings = 6;

Milliseconds doubled(Milliseconds interval, int times)
{
    return interval * (1 << std::min(times, MaxDoublings));
}

} // namespace

const char *stopOutcomeName(StopOutcome outcome)
{
    switch (outcome) {
    case StopOutcome::Stopped:
        return "stopped";
    case StopOutcome::NotRunning:
        return "not_running";
    case StopOutcome::TargetGone:
        return "target_gone";
    case StopOutcome::DeadlinePassed:
        return "deadline_passed";
    }
    return "unknown";
}

StopAnswer stopAnswer(const MoveOutcome &outcome)
{
    // The source keeps a copy of a generation that it stopped.
    if (!outcome.handle.isEmpty())
        return StopAnswer::Stopped;
    switch (outcome.kind) {
    case MoveOutcome::Kind::Copied:
        return StopAnswer::Stopped;
    case MoveOutcome::Kind::NoSuchRun:
        return StopAnswer::NotRunning;
    case MoveOutcome::Kind::Busy:
        return StopAnswer::Copying;
    case MoveOutcome::Kind::NotSent:
        return StopAnswer::NotDelivered;
    case MoveOutcome::Kind::NoRoom:
    case MoveOutcome::Kind::Unknown:
        break;
    }
    return StopAnswer::Unclear;
}

bool hasEnded(StopAnswer answer)
{
    return answer == StopAnswer::Stopped || answer == StopAnswer::NotRunning;
}

Milliseconds nextStopDelay(StopAnswer answer, int orders)
{
    if (answer == StopAnswer::Copying)
        return doubled(RepeatInterval, orders / OrdersPerDoubling);
    return doubled(answer == StopAnswer::Pending ? AnswerTime : RepeatInterval, orders - 1);
}

} // namespace cranberry
