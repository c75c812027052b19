#include "claims/ClaimForwarder.h"

#include "base/TimerService.h"
#include "base/TimerSubscription.h"
#include "membership/MemberView.h"
#include "membership/RendezvousHash.h"
#include "peer/PeerNetwork.h"

namespace cranberry {

ClaimForwarder::ClaimForwarder(PeerNetwork &peers, TimerService &timers, const MemberView &members,
                               const ClaimSettings &settings, ShardLookup shardOf)
    : m_peers(peers)
    , m_timers(timers)
    , m_members(members)
    , m_settings(settings)
    , m_shardOf(std::move(shardOf))
{
    peers.subscribe(PeerMessageKind::ClaimRequest,
                    m_life.wrap([this](const VmId &from, const QCborMap &body) {
                        if (const auto message = claimRequestFromCbor(body))
                            onClaimRequest(from, *message);
                    }));
    peers.subscribe(PeerMessageKind::ClaimAnswer,
                    m_life.wrap([this](const VmId &, const QCborMap &body) {
                        if (const auto message = claimAnswerFromCbor(body))
                            onClaimAnswer(*message);
                    }));
}

ClaimForwarder::~ClaimForwarder() = default;

VmId ClaimForwarder::coordinatorOf(const Claim &claim) const
{
    QList<VmId> vms;
    for (const Member &member : m_members.liveMembers())
        vms.append(member.vm);
    return rendezvousOwner(claimHeadKey(shardOfClaim(claim.key)), vms);
}

void ClaimForwarder::claim(const Claim &claim, ClaimShard::Callback callback)
{
    const VmId coordinator = coordinatorOf(claim);
    if (coordinator.isEmpty() || coordinator == m_members.self()) {
        m_shardOf(claim.key).submit({ClaimOperation::Kind::Claim, claim}, true,
                                    std::move(callback));
        return;
    }
    const AttemptId attempt = claim.attempt;
    // Without the added window, every claim of a busy shard would be written twice.
    const Milliseconds answerTimeout =
        m_settings.coordinatorTimeout + m_windows[size_t(shardOfClaim(claim.key))];
    auto timeout = m_timers.after(answerTimeout, [this, attempt] { claimDirectly(attempt); });
    m_pendingRequests[attempt] = {claim, std::move(callback), std::move(timeout)};
    if (!m_peers.send(coordinator, PeerMessageKind::ClaimRequest, claimRequestToCbor({claim})))
        claimDirectly(attempt);
}

void ClaimForwarder::claimDirectly(const AttemptId &attempt)
{
    const PendingRequest pending = std::move(m_pendingRequests.at(attempt));
    m_pendingRequests.erase(pending.claim.attempt);
    m_shardOf(pending.claim.key)
        .submit({ClaimOperation::Kind::Claim, pending.claim}, false,
                [callback = pending.callback](ClaimOutcome outcome) {
                    outcome.mayBeStored = true; // the coordinator may still write it
                    callback(outcome);
                });
}

void ClaimForwarder::onClaimRequest(const VmId &from, const ClaimRequestMessage &message)
{
    if (message.claim.vm != from)
        return;
    const AttemptId attempt = message.claim.attempt;
    m_shardOf(message.claim.key)
        .submit({ClaimOperation::Kind::Claim, message.claim}, true,
                [this, from, attempt, key = message.claim.key](const ClaimOutcome &outcome) {
                    const Milliseconds window = m_shardOf(key).window();
                    m_peers.send(from, PeerMessageKind::ClaimAnswer,
                                 claimAnswerToCbor({attempt, outcome, shardOfClaim(key), window}));
                });
}

// An answer that arrives after claimDirectly() finds no pending request. The outcome of the direct
// write is reported, and that write finds what the coordinator wrote in the store.
void ClaimForwarder::onClaimAnswer(const ClaimAnswerMessage &message)
{
    m_windows[size_t(message.shard)] = message.window;
    const auto found = m_pendingRequests.find(message.attempt);
    if (found == m_pendingRequests.end())
        return;
    if (message.outcome.kind == ClaimOutcome::Kind::Unavailable) {
        claimDirectly(message.attempt);
        return;
    }
    const PendingRequest pending = std::move(found->second);
    m_pendingRequests.erase(found);
    pending.callback(message.outcome);
}

} // namespace cranberry
