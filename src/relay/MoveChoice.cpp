#include "relay/MoveChoice.h"

#include "relay/TargetRecord.h"

#include <algorithm>

namespace cranberry {

namespace {

/// A copy to another data centre takes this many times as long.
constexpr double CrossDataCentreFactor = 2;
/// Used if the link rate is unknown: 4,000 tokens take 0.22 s within a data centre.
constexpr double DefaultMillisecondsPerToken = 0.055;
/// Load that is equivalent to one second of copy delay. An engine leaves within two seconds, and
/// copying 4,000 tokens to another data centre takes 0.22 s longer than within one. That equals a
/// load of 0.45, which slows each token by 6% according to the engines' own figures.
constexpr double LoadPerSecondOfDelay = 2;

MonotonicTime copyDoneAt(const TargetRecord &target, const MoveNeed &move, Milliseconds duration,
                         MonotonicTime now)
{
    // A copy starts when both links are free and occupies both until it ends.
    return std::max({now, move.sourceLinkFree, target.linkFreeAt}) + duration;
}

/// Time that an engine may stay beyond its minimum notice period.
constexpr Milliseconds NoticeOverrun{700};
/// Value of an output token to the caller relative to a prompt token.
constexpr double OutputTokenWeight = 10;
/// Output rate of an engine that also reads prompts.
constexpr double OutputTokensPerMillisecond = 0.11;
/// Weight of generations that are expected to end before their engine leaves; not zero because
/// forecasts are often wrong.
constexpr double EndsEarlyWeight = 0.4;

} // namespace

double movePriority(const MoveCandidate &candidate)
{
    const double prompt = double(candidate.prompt.value());
    const double output = double(candidate.output.value());
    const double remaining = std::max(double(candidate.remaining.value()), 0.0);
    const bool endsBeforeNotice =
        remaining < OutputTokensPerMillisecond * double(candidate.notice.count());
    const double value = prompt + OutputTokenWeight * (output + remaining);
    return value / std::max(prompt + output, 1.0) * (endsBeforeNotice ? EndsEarlyWeight : 1);
}

Milliseconds copyTime(const EngineTraits &engine, Tokens held, bool isCrossDataCentre)
{
    const bool isKnown = engine.bytesPerToken.value() > 0 && engine.linkMegabitsPerSecond > 0;
    const double perToken = isKnown
        ? double(engine.bytesPerToken.value()) * 8 / (engine.linkMegabitsPerSecond * 1000)
        : DefaultMillisecondsPerToken;
    return Milliseconds(
        qint64(perToken * double(held.value()) * (isCrossDataCentre ? CrossDataCentreFactor : 1)));
}

MovePick chooseDestination(const QList<const TargetRecord *> &targets, const MoveNeed &move,
                           MonotonicTime now)
{
    TargetNeed need = move.need;
    // The copy time already accounts for the distance.
    need.distance.otherDataCentre = 0;
    MovePick best;
    double bestScore = 0;
    bool isBestSuspect = false;
    for (const ScoredTarget &candidate : rankTargets(targets, need, now)) {
        const bool isCrossDataCentre = candidate.target->entry.dataCentre != need.dataCentre;
        const Milliseconds duration = copyTime(*need.engine, move.held, isCrossDataCentre);
        const MonotonicTime copyDone = copyDoneAt(*candidate.target, move, duration, now);
        const std::chrono::duration<double> wait = copyDone - now;
        const double score = candidate.score + LoadPerSecondOfDelay * wait.count();
        const bool isBetter = !best.target || (isBestSuspect && !candidate.isSuspect)
            || (isBestSuspect == candidate.isSuspect && score < bestScore);
        if (!isBetter)
            continue;
        best = {candidate.target, loadWith(*candidate.target, need, now), duration, copyDone};
        bestScore = score;
        isBestSuspect = candidate.isSuspect;
    }
    return best;
}

bool shouldStartCopy(MonotonicTime copyDone, MonotonicTime leavesAt, MonotonicTime now)
{
    const bool isNoticeOver = now >= leavesAt;
    return copyDone <= leavesAt + (isNoticeOver ? NoticeOverrun : Milliseconds(0));
}

} // namespace cranberry
