#include "claims/ClaimStore.h"

#include "base/EventLog.h"
#include "base/TimerService.h"
#include "base/TimerSubscription.h"
#include "claims/ClaimGathering.h"
#include "claims/ClaimShard.h"
#include "membership/MemberView.h"

#include <QDateTime>

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
        // The claim may stand. Its attempt is never sent, so it is taken back when that can be.
        logEvent(LogLevel::Warning, EventId::ClaimUnsettled, {attemptField(claim.attempt)});
        callback(notClaimed());
        releaseClaim(claim, m_settings.releaseTries);
        return;
    }
}

void ClaimStore::release(const QByteArray &claimKey, const AttemptId &attempt)
{
    releaseClaim({claimKey, {}, attempt, m_self, 0}, m_settings.releaseTries);
}

void ClaimStore::releaseClaim(const Claim &claim, int tries)
{
    if (tries == 0)
        return;
    shardOf(claim.key).submit(
        {ClaimOperation::Kind::Release, claim}, true,
        [this, claim, tries](const ClaimOutcome &outcome) {
            if (outcome.kind == ClaimOutcome::Kind::Done) {
                m_releases.erase(claim.attempt);
                logEvent(LogLevel::Info, EventId::ClaimReleased, {attemptField(claim.attempt)});
                return;
            }
            m_releases[claim.attempt] = m_timers.after(
                m_settings.releasePause, [this, claim, tries] { releaseClaim(claim, tries - 1); });
        });
}

ClaimCounts ClaimStore::counts() const
{
    ClaimCounts sum;
    for (const auto &shard : m_shards)
        sum += shard->counts();
    return sum;
}

} // namespace cranberry
