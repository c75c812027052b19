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

/// Lets one daemon, the coordinator, write the claims of a shard for the others.
/// Rendezvous hashing over the live members selects the coordinator of each shard, which batches
/// the claims of all daemons. Coordinators reduce the number of writes and are not needed for
/// correctness: a shard may have two at the same time, and a daemon writes its claim itself if
/// the coordinator does not answer in time. A coordinator never releases a claim, since the entry
/// daemon may have found that claim stored and sent its request meanwhile.
/// Thread safety: only from the thread of the event loop.
class ClaimForwarder
{
public:
    using ShardLookup = std::function<ClaimShard &(const QByteArray &claimKey)>;

    /// All arguments but @p shardOf outlive the forwarder. Subscribes to ClaimRequest and
    /// ClaimAnswer.
    ClaimForwarder(PeerNetwork &peers, TimerService &timers, const MemberView &members,
                   const ClaimSettings &settings, ShardLookup shardOf);
    ~ClaimForwarder();
    ClaimForwarder(const ClaimForwarder &) = delete;
    ClaimForwarder &operator=(const ClaimForwarder &) = delete;

    /// Has @p claim written by the coordinator of its shard or, if the coordinator does not answer
    /// in time or reports Unavailable, by this daemon. Calls @p callback once.
    void claim(const Claim &claim, ClaimShard::Callback callback);

private:
    struct PendingRequest {
        Claim claim;
        ClaimShard::Callback callback;
        std::unique_ptr<TimerSubscription> timeout;
    };

    VmId coordinatorOf(const Claim &claim) const;
    void claimDirectly(const AttemptId &attempt);
    void onClaimRequest(const VmId &from, const ClaimRequestMessage &message);
    void onClaimAnswer(const ClaimAnswerMessage &message);

    PeerNetwork &m_peers;
    TimerService &m_timers;
    const MemberView &m_members;
    const ClaimSettings &m_settings;
    ShardLookup m_shardOf;
    std::map<AttemptId, PendingRequest> m_pendingRequests;
    /// By shard, the batch window that its coordinator reported last.
    std::array<Milliseconds, ClaimShardCount> m_windows{};
    internal::CallbackGuard m_life;
};

} // namespace cranberry
