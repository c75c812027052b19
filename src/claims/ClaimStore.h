#pragma once

#include "claims/ClaimCounts.h"
#include "claims/ClaimSettings.h"
#include "delivery/ClaimService.h"

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace cranberry {

class ClaimForwarder;
class ClaimShard;
class KeyValueStore;
class MemberView;
class PeerNetwork;
class TimerService;
class TimerSubscription;
struct Claim;
struct ClaimOperation;
struct ClaimOutcome;

/// Keeps the claims of at-most-once requests in the platform's store.
/// Claims are distributed over shards by key. The only commit point of a shard is the
/// compare-and-swap of its head in the platform's store; neither membership nor clocks decide
/// which claim wins.
///
/// An error from claim() has kind PlatformUnavailable and Ran::No: the request did not run.
/// The claim may be stored nevertheless, if its write was not answered and its outcome could not
/// be determined; its attempt id must never be sent then. The claim is released later if the
/// store becomes available again.
/// Thread safety: only from the thread of the event loop.
class ClaimStore final : public ClaimService
{
public:
    /// Milliseconds since 1970; used only to decide which claims are old enough to be removed.
    using WallClock = std::function<qint64()>;

    /// All of these outlive the claim store.
    struct Dependencies {
        KeyValueStore &platform;
        TimerService &timers;
        const MemberView &members;
        PeerNetwork &peers;
    };

    /// Subscribes to ClaimRequest and ClaimAnswer.
    ClaimStore(const Dependencies &dependencies, const ClaimSettings &settings);
    ClaimStore(const Dependencies &dependencies, const ClaimSettings &settings, WallClock clock);
    ~ClaimStore() override;

    /// Preconditions: @p claimKey is a SHA-256 digest, @p attempt was never claimed before.
    void claim(const QByteArray &claimKey, const QByteArray &fingerprint, const AttemptId &attempt,
               Callback callback) override;

    /// Has no effect once the claim's segment is sealed: the key remains claimed.
    void release(const QByteArray &claimKey, const AttemptId &attempt) override;

    /// Calls on the platform's store and claims since the start.
    ClaimCounts counts() const;

private:
    void onClaimDecided(const Claim &claim, const ClaimOutcome &outcome, const Callback &callback);
    void release(const ClaimOperation &operation, int failureCount);
    void scheduleReleaseRetry(const ClaimOperation &operation, int failureCount);
    ClaimShard &shardOf(const QByteArray &claimKey);

    const VmId m_self;
    const ClaimSettings m_settings;
    TimerService &m_timers;
    WallClock m_clock;
    std::vector<std::unique_ptr<ClaimShard>> m_shards;
    std::unique_ptr<ClaimForwarder> m_forwarder;
    /// Timers of releases to be retried, by attempt.
    std::map<AttemptId, std::unique_ptr<TimerSubscription>> m_releases;
};

} // namespace cranberry
