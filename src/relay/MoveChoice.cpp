#include "relay/MoveChoice.h"

#include "relay/TargetRecord.h"

#include <algorithm>

namespace cranberry {

namespace {

/// A copy between data centres takes this many times as long.
constexpr double AcrossFactor = 2;
/// Without a known rate: 4,000 tokens take 0.22 s within a data centre.
constexpr double UnknownMillisecondsPerToken = 0.055;
/// Load that a second until the copy is there counts as. An engine leaves within two seconds, and a
/// copy of 4,000 tokens to another data centre takes 0.22 s longer than one within it: as much as
/// 0.45 of load, which slows each token by 6% by the engines' own figures.
constexpr double PenaltyPerSecond = 2;

MonotonicTime copiedAt(const TargetRecord &target, const MoveNeed &move, Milliseconds duration,
                       MonotonicTime now)
{
    // A copy begins when both links are free, and keeps both from others until it ends.
    return std::max({now, move.sourceFree, target.linkFreeAt}) + duration;
}

/// An engine may go later than the least notice says.
constexpr Milliseconds TryBeyondNotice{700};
/// What an output token is worth to the caller beside one of the prompt.
constexpr double OutputWorth = 10;
/// Made in a ms by an engine that also reads prompts.
constexpr double TokensPerMillisecond = 0.11;
/// For answers that should end before their engine leaves: forecasts are often wrong.
constexpr double OutlastsAnyway = 0.4;

} // namespace

double movePriority(const MoveCandidate &candidate)
{
    const double prompt = double(candidate.prompt.value());
    const double made = double(candidate.made.value());
    const double left = std::max(double(candidate.left.value()), 0.0);
    const bool endsFirst = left < TokensPerMillisecond * double(candidate.notice.count());
    const double worth = prompt + OutputWorth * (made + left);
    return worth / std::max(prompt + made, 1.0) * (endsFirst ? OutlastsAnyway : 1);
}

Milliseconds copyTime(const EngineTraits &engine, Tokens held, bool isAcross)
{
    const bool isKnown = engine.bytesPerToken.value() > 0 && engine.linkMegabitsPerSecond > 0;
    const double perToken = isKnown
        ? double(engine.bytesPerToken.value()) * 8 / (engine.linkMegabitsPerSecond * 1000)
        : UnknownMillisecondsPerToken;
    return Milliseconds(qint64(perToken * double(held.value()) * (isAcross ? AcrossFactor : 1)));
}

MovePick chooseDestination(const QList<const TargetRecord *> &targets, const MoveNeed &move,
                           MonotonicTime now)
{
    TargetNeed need = move.need;
    // Distance counts by the time that the copy takes.
    need.distance.away = 0;
    MovePick best;
    double bestScore = 0;
    bool isBestSuspect = false;
    for (const ScoredTarget &candidate : rankTargets(targets, need, now)) {
        const bool isAcross = candidate.target->entry.dataCentre != need.dataCentre;
        const Milliseconds duration = copyTime(*need.engine, move.held, isAcross);
        const MonotonicTime copied = copiedAt(*candidate.target, move, duration, now);
        const std::chrono::duration<double> wait = copied - now;
        const double score = candidate.score + PenaltyPerSecond * wait.count();
        const bool isBetter = !best.target || (isBestSuspect && !candidate.isSuspect)
            || (isBestSuspect == candidate.isSuspect && score < bestScore);
        if (!isBetter)
            continue;
        best = {candidate.target, loadWith(*candidate.target, need, now), duration, copied};
        bestScore = score;
        isBestSuspect = candidate.isSuspect;
    }
    return best;
}

bool isBegunNow(MonotonicTime copied, MonotonicTime leavesAt, MonotonicTime now)
{
    const bool isNoticeOver = now >= leavesAt;
    return copied <= leavesAt + (isNoticeOver ? TryBeyondNotice : Milliseconds(0));
}

} // namespace cranberry
