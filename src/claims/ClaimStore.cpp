#include "claims/ClaimStore.h"

#include "base/EventLog.h"
#include "base/TimerService.h"
#include "base/TimerSubscription.h"
#include "claims/ClaimGathering.h"
#include "claims/ClaimShard.h"
#include "membership/MemberView.h"

#include <QDateTime>

#include <algorithm>

namespace cranberry {

namespace {

Error notClaimed()
{
    Error error;
    error.kind = ErrorKind::PlatformUnavailable;
    error.ran = Ran::No;
    error.detail = QStringLiteral(
        "the request could not be claimed in the platform's service; it did not run");
    return error;
}

EventField attemptField(const AttemptId &attempt)
{
    return {"attempt", attempt.text()};
}

} // namespace

ClaimStore::ClaimStore(const Surroundings &surroundings, const ClaimSettings &settings)
    : ClaimStore(surroundings, settings, [] { return QDateTime::currentMSecsSinceEpoch(); })
{
}

ClaimStore::ClaimStore(const Surroundings &surroundings, const ClaimSettings &settings,
                       WallClock clock)
    : m_self(surroundings.members.self())
    , m_settings(settings)
    , m_timers(surroundings.timers)
    , m_clock(std::move(clock))
{
    for (int shard = 0; shard < ClaimShardCount; ++shard) {
        m_shards.push_back(std::make_unique<ClaimShard>(
            shard, ClaimShard::Surroundings{surroundings.platform, m_timers, m_clock, m_settings}));
    }
    m_gathering = std::make_unique<ClaimGathering>(
        surroundings.peers, m_timers, surroundings.members, m_settings,
        [this](const QByteArray &claimKey) -> ClaimShard & { return shardOf(claimKey); });
}

ClaimStore::~ClaimStore() = default;

ClaimShard &ClaimStore::shardOf(const QByteArray &claimKey)
{
    return *m_shards[size_t(shardOfClaim(claimKey))];
}

void ClaimStore::claim(const QByteArray &claimKey, const QByteArray &fingerprint,
                       const AttemptId &attempt, Callback callback)
{
    const Claim claim{claimKey, fingerprint, attempt, m_self, m_clock()};
    m_gathering->claim(claim, [this, claim, callback = std::move(callback)](const auto &outcome) {
        claimDecided(claim, outcome, callback);
    });
}

void ClaimStore::claimDecided(const Claim &claim, const ClaimOutcome &outcome,
                              const Callback &callback)
{
    switch (outcome.kind) {
    case ClaimOutcome::Kind::Done:
        logEvent(LogLevel::Info, EventId::ClaimWon, {attemptField(claim.attempt)});
        callback(ClaimDecision{});
        return;
    case ClaimOutcome::Kind::Held:
        logEvent(LogLevel::Info, EventId::ClaimLost,
                 {attemptField(claim.attempt), {"holder", outcome.holder.attempt.text()}});
        callback(ClaimDecision{ClaimDecision::Kind::Held, outcome.holder.vm, outcome.holder.attempt,
                               outcome.holder.fingerprint});
        return;
    case ClaimOutcome::Kind::Unavailable:
        // Its attempt is never sent, so a claim that may stand is taken back when that can be.
        logEvent(LogLevel::Warning, EventId::ClaimUnsettled, {attemptField(claim.attempt)});
        callback(notClaimed());
        if (outcome.mayStand)
            release({ClaimOperation::Kind::Void, claim}, 0);
        return;
    }
}

void ClaimStore::release(const QByteArray &claimKey, const AttemptId &attempt)
{
    release({ClaimOperation::Kind::Release, {claimKey, {}, attempt, m_self, 0}}, 0);
}

void ClaimStore::release(const ClaimOperation &operation, int tries)
{
    const AttemptId attempt = operation.claim.attempt;
    shardOf(operation.claim.key)
        .submit(operation, true, [this, operation, attempt, tries](const ClaimOutcome &outcome) {
            if (outcome.kind == ClaimOutcome::Kind::Done) {
                m_releases.erase(attempt);
                logEvent(LogLevel::Info, EventId::ClaimReleased, {attemptField(attempt)});
            } else {
                releaseLater(operation, tries + 1);
            }
        });
}

// The pause doubles, so that an outage does not end under the weight of what waited for it.
void ClaimStore::releaseLater(const ClaimOperation &operation, int tries)
{
    constexpr int MostDoublings = 5;
    const AttemptId attempt = operation.claim.attempt;
    if (tries >= m_settings.releaseTries) {
        m_releases.erase(attempt);
        return;
    }
    const Milliseconds pause = m_settings.releasePause * (1 << std::min(tries, MostDoublings));
    m_releases[attempt] =
        m_timers.after(pause, [this, operation, tries] { release(operation, tries); });
}

ClaimCounts ClaimStore::counts() const
{
    ClaimCounts sum;
    for (const auto &shard : m_shards)
        sum += shard->counts();
    return sum;
}

} // namespace cranberry
