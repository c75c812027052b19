#include "claims/ClaimGathering.h"

#include "base/TimerService.h"
#include "base/TimerSubscription.h"
#include "membership/MemberView.h"
#include "membership/RendezvousHash.h"
#include "peer/PeerNetwork.h"

namespace cranberry {

ClaimGathering::ClaimGathering(PeerNetwork &peers, TimerService &timers, const MemberView &members,
                               const ClaimSettings &settings, ShardOf shardOf)
    : m_peers(peers)
    , m_timers(timers)
    , m_members(members)
    , m_settings(settings)
    , m_shardOf(std::move(shardOf))
{
    peers.subscribe(PeerMessageKind::ClaimRequest,
                    m_life.wrap([this](const VmId &from, const QCborMap &body) {
                        if (const auto message = claimRequestFromCbor(body))
                            requested(from, *message);
                    }));
    peers.subscribe(PeerMessageKind::ClaimAnswer,
                    m_life.wrap([this](const VmId &, const QCborMap &body) {
                        if (const auto message = claimAnswerFromCbor(body))
                            answered(*message);
                    }));
}

ClaimGathering::~ClaimGathering() = default;

VmId ClaimGathering::gathererOf(const Claim &claim) const
{
    QList<VmId> vms;
    for (const Member &member : m_members.liveMembers())
        vms.append(member.vm);
    return rendezvousOwner(claimHeadKey(shardOfClaim(claim.key)), vms);
}

void ClaimGathering::claim(const Claim &claim, ClaimShard::Callback callback)
{
    const VmId gatherer = gathererOf(claim);
    if (gatherer.isEmpty() || gatherer == m_members.self()) {
        m_shardOf(claim.key).submit({ClaimOperation::Kind::Claim, claim}, true,
                                    std::move(callback));
        return;
    }
    const AttemptId attempt = claim.attempt;
    // Without the window on top, every claim of a busy shard would be written twice.
    const Milliseconds patience =
        m_settings.gathererTimeout + m_windows[size_t(shardOfClaim(claim.key))];
    auto timeout = m_timers.after(patience, [this, attempt] { claimDirectly(attempt); });
    m_asked[attempt] = {claim, std::move(callback), std::move(timeout)};
    if (!m_peers.send(gatherer, PeerMessageKind::ClaimRequest, claimRequestToCbor({claim})))
        claimDirectly(attempt);
}

void ClaimGathering::claimDirectly(const AttemptId &attempt)
{
    const Asked asked = std::move(m_asked.at(attempt));
    m_asked.erase(asked.claim.attempt);
    m_shardOf(asked.claim.key)
        .submit({ClaimOperation::Kind::Claim, asked.claim}, false,
                [callback = asked.callback](ClaimOutcome outcome) {
                    outcome.mayStand = true; // the gatherer may write it yet
                    callback(outcome);
                });
}

void ClaimGathering::requested(const VmId &from, const ClaimRequestMessage &message)
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

// An answer that comes after the direct way was taken finds nobody waiting: the outcome of the
// direct way is the one that counts, and it finds the gatherer's write in the service.
void ClaimGathering::answered(const ClaimAnswerMessage &message)
{
    m_windows[size_t(message.shard)] = message.window;
    const auto found = m_asked.find(message.attempt);
    if (found == m_asked.end())
        return;
    if (message.outcome.kind == ClaimOutcome::Kind::Unavailable) {
        claimDirectly(message.attempt);
        return;
    }
    const Asked asked = std::move(found->second);
    m_asked.erase(found);
    asked.callback(message.outcome);
}

} // namespace cranberry
