#include "claims/ClaimStore.h"

#include "base/EventLog.h"
#include "base/TimerService.h"
#include "base/TimerSubscription.h"
#include "claims/ClaimForwarder.h"
#include "claims/ClaimShard.h"
#include "membership/MemberView.h"

#include <QDateTime>

#include <algorithm>

namespace cranberry {

namespace {

Error claimUnavailableError()
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

ClaimStore::ClaimStore(const Dependencies &dependencies, const ClaimSettings &settings)
    : ClaimStore(dependencies, settings, [] { return QDateTime::currentMSecsSinceEpoch(); })
{
}

ClaimStore::ClaimStore(const Dependencies &dependencies, const ClaimSettings &settings,
                       WallClock clock)
    : m_self(dependencies.members.self())
    , m_settings(settings)
    , m_timers(dependencies.timers)
    , m_clock(std::move(clock))
{
    for (int shard = 0; shard < ClaimShardCount; ++shard) {
        m_shards.push_back(std::make_unique<ClaimShard>(
            shard, ClaimShard::Dependencies{dependencies.platform, m_timers, m_clock, m_settings}));
    }
    m_forwarder = std::make_unique<ClaimForwarder>(
        dependencies.peers, m_timers, dependencies.members, m_settings,
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
    m_forwarder->claim(claim, [this, claim, callback = std::move(callback)](const auto &outcome) {
        onClaimDecided(claim, outcome, callback);
    });
}

void ClaimStore::onClaimDecided(const Claim &claim, const ClaimOutcome &outcome,
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
        // The attempt is never sent, so a claim that may be stored is released when possible.
        logEvent(LogLevel::Warning, EventId::ClaimUnsettled, {attemptField(claim.attempt)});
        callback(claimUnavailableError());
        if (outcome.mayBeStored)
            release({ClaimOperation::Kind::Void, claim}, 0);
        return;
    }
}

void ClaimStore::release(const QByteArray &claimKey, const AttemptId &attempt)
{
    release({ClaimOperation::Kind::Release, {claimKey, {}, attempt, m_self, 0}}, 0);
}

void ClaimStore::release(const ClaimOperation &operation, int failureCount)
{
    const AttemptId attempt = operation.claim.attempt;
    shardOf(operation.claim.key)
        .submit(operation, true,
                [this, operation, attempt, failureCount](const ClaimOutcome &outcome) {
                    if (outcome.kind == ClaimOutcome::Kind::Done) {
                        m_releases.erase(attempt);
                        logEvent(LogLevel::Info, EventId::ClaimReleased, {attemptField(attempt)});
                    } else {
                        scheduleReleaseRetry(operation, failureCount + 1);
                    }
                });
}

// Exponential backoff, so that waiting releases do not overload the store after an outage.
void ClaimStore::scheduleReleaseRetry(const ClaimOperation &operation, int failureCount)
{
    constexpr int MaxBackoffDoublings = 5;
    const AttemptId attempt = operation.claim.attempt;
    if (failureCount >= m_settings.maxReleaseAttempts) {
        m_releases.erase(attempt);
        return;
    }
    const Milliseconds backoff =
        m_settings.releaseRetryBackoff * (1 << std::min(failureCount, MaxBackoffDoublings));
    m_releases[attempt] = m_timers.after(
        backoff, [this, operation, failureCount] { release(operation, failureCount); });
}

ClaimCounts ClaimStore::counts() const
{
    ClaimCounts sum;
    for (const auto &shard : m_shards)
        sum += shard->counts();
    return sum;
}

} // namespace cranberry
