// Defines ClaimGathering, which lets one daemon write the claims of a shard for the others.
#pragma once

#include "claims/ClaimMessages.h"
#include "claims/ClaimSettings.h"
#include "claims/ClaimShard.h"

#include <array>
#include <functional>
#include <map>
#include <memory>

namespace cranberry {

class MemberView;
class PeerNetwork;
class TimerService;
class TimerSubscription;

/// Rendezvous hashing of the live members names the gatherer of each shard. It saves writes
/// and decides nothing: two may gather at once, and one that does not answer in time is passed
/// by. It never gives a claim back, since the entry daemon may have found that claim standing
/// and sent its request meanwhile.
/// Thread safety: only from the thread of the event loop.
class ClaimGathering
{
public:
    using ShardOf = std::function<ClaimShard &(const QByteArray &claimKey)>;

    /// All but @p shardOf outlive the gathering. Subscribes to ClaimRequest and ClaimAnswer.
    ClaimGathering(PeerNetwork &peers, TimerService &timers, const MemberView &members,
                   const ClaimSettings &settings, ShardOf shardOf);
    ~ClaimGathering();
    ClaimGathering(const ClaimGathering &) = delete;
    ClaimGathering &operator=(const ClaimGathering &) = delete;

    /// Has @p claim written by the gatherer of its shard or, if that does not answer in time or
    /// cannot, by this daemon. Calls back once.
    void claim(const Claim &claim, ClaimShard::Callback callback);

private:
    struct Asked {
        Claim claim;
        ClaimShard::Callback callback;
        std::unique_ptr<TimerSubscription> timeout;
    };

    VmId gathererOf(const Claim &claim) const;
    void claimDirectly(const AttemptId &attempt);
    void requested(const VmId &from, const ClaimRequestMessage &message);
    void answered(const ClaimAnswerMessage &message);

    PeerNetwork &m_peers;
    TimerService &m_timers;
    const MemberView &m_members;
    const ClaimSettings &m_settings;
    ShardOf m_shardOf;
    std::map<AttemptId, Asked> m_asked;
    /// By shard, how long its gatherer last said that it holds claims.
    std::array<Milliseconds, ClaimShardCount> m_windows{};
    internal::CallbackGuard m_life;
};

} // namespace cranberry
