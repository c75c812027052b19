// Defines ClaimStore, which keeps the claims of at-most-once requests in the platform's service.
#pragma once

#include "claims/ClaimCounts.h"
#include "claims/ClaimSettings.h"
#include "delivery/ClaimService.h"

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace cranberry {

class ClaimGathering;
class ClaimShard;
class KeyValueStore;
class MemberView;
class PeerNetwork;
class TimerService;
class TimerSubscription;
struct Claim;
struct ClaimOperation;
struct ClaimOutcome;

/// Claims are spread over shards by their key. The one commit point of a shard is the
/// compare-and-swap of its head in the platform's service; neither membership nor any clock
/// decides who wins.
///
/// An error from claim() has kind PlatformUnavailable and Ran::No: the request did not run.
/// The claim may stand nevertheless, if its write was not answered and could not be settled;
/// its attempt id must never be sent then. It is released later if the service comes back.
/// Thread safety: only from the thread of the event loop.
class ClaimStore final : public ClaimService
{
public:
    /// Milliseconds since 1970; it decides only what is old enough to be forgotten.
    using WallClock = std::function<qint64()>;

    /// What the store works with; all of it outlives the store.
    struct Surroundings {
        KeyValueStore &platform;
        TimerService &timers;
        const MemberView &members;
        PeerNetwork &peers;
    };

    /// Subscribes to ClaimRequest and ClaimAnswer.
    ClaimStore(const Surroundings &surroundings, const ClaimSettings &settings);
    ClaimStore(const Surroundings &surroundings, const ClaimSettings &settings, WallClock clock);
    ~ClaimStore() override;

    /// Preconditions: @p claimKey is a SHA-256, @p attempt was never claimed before.
    void claim(const QByteArray &claimKey, const QByteArray &fingerprint, const AttemptId &attempt,
               Callback callback) override;

    /// Once the claim's segment is sealed it cannot be given back: the key stays taken.
    void release(const QByteArray &claimKey, const AttemptId &attempt) override;

    /// Calls on the platform's service and claims so far.
    ClaimCounts counts() const;

private:
    void claimDecided(const Claim &claim, const ClaimOutcome &outcome, const Callback &callback);
    void release(const ClaimOperation &operation, int tries);
    void releaseLater(const ClaimOperation &operation, int tries);
    ClaimShard &shardOf(const QByteArray &claimKey);

    const VmId m_self;
    const ClaimSettings m_settings;
    TimerService &m_timers;
    WallClock m_clock;
    std::vector<std::unique_ptr<ClaimShard>> m_shards;
    std::unique_ptr<ClaimGathering> m_gathering;
    /// Releases to be tried again, by attempt.
    std::map<AttemptId, std::unique_ptr<TimerSubscription>> m_releases;
};

} // namespace cranberry
