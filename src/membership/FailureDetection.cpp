#include "membership/FailureDetection.h"

#include "membership/MemberTable.h"

#include <algorithm>

namespace cranberry {

namespace {

constexpr int ProbeHelperCount = 2;
/// A member that has been heard within this time can be asked to probe another.
constexpr Milliseconds HelperRecencyLimit{15'000};

bool wasHeardRecently(const MemberRecord &record, MonotonicTime now)
{
    return record.hasBeenHeard && now - record.lastHeard < HelperRecencyLimit;
}

/// Up to ProbeHelperCount members that can probe @p vm, chosen by @p random.
QList<VmId> selectProbeHelpers(const MembershipState &state, const VmId &vm, MonotonicTime now,
                               quint64 random)
{
    QList<VmId> candidates;
    for (const VmId &neighbour : state.neighbours.all()) {
        const MemberRecord &record = *state.others.constFind(neighbour);
        if (neighbour != vm && record.member.state != MemberState::Dead
            && !state.suspicions.contains(neighbour) && wasHeardRecently(record, now))
            candidates.append(neighbour);
    }
    if (candidates.isEmpty())
        return candidates;
    std::rotate(candidates.begin(),
                candidates.begin() + qsizetype(random % quint64(candidates.size())),
                candidates.end());
    return candidates.mid(0, ProbeHelperCount);
}

void probe(const MembershipState &state, const VmId &vm, Suspicion &suspicion, MonotonicTime now,
           quint64 random, MembershipOutput &output)
{
    const QList<VmId> helpers = selectProbeHelpers(state, vm, now, random);
    suspicion.deadline = now + state.settings.probeTimeout;
    suspicion.helperCount = int(helpers.size());
    suspicion.unreachableReports = 0;
    output.messages.append({vm, ProbeMessage{vm}});
    for (const VmId &helper : helpers)
        output.messages.append({helper, ProbeMessage{vm}});
}

Milliseconds silenceTimeout(const MembershipState &state, const MemberRecord &record)
{
    const Milliseconds announcedInterval =
        std::max(record.announcedInterval, state.settings.heartbeatInterval);
    return announcedInterval * state.settings.missedHeartbeatLimit + record.gracePeriod;
}

bool isOnlyLivePeer(const MembershipState &state, const VmId &vm)
{
    return std::all_of(state.others.begin(), state.others.end(), [&](const MemberRecord &record) {
        return record.member.vm == vm || record.member.state == MemberState::Dead;
    });
}

/// The result of one round of probes.
enum class ProbeRoundResult {
    Dead,
    AnotherRound,
};

ProbeRoundResult evaluateProbeRound(const MembershipState &state, const VmId &vm,
                                    const Suspicion &suspicion)
{
    if (suspicion.unreachableReports > 0)
        return ProbeRoundResult::Dead;
    if (suspicion.round < state.settings.probeRounds)
        return ProbeRoundResult::AnotherRound;
    // No helper answered either. A daemon that is cut off from the network hears nobody and must
    // not declare every other member dead, so it keeps probing until it has received a message
    // since the suspicion started. A listed member that was never heard may be declared dead: its
    // first message has a greater incarnation and revokes the declaration.
    const bool hasHeardSince = suspicion.startedAt < state.lastMessageAt;
    const bool wasNeverHeard = state.others.constFind(vm)->member.incarnation == Incarnation();
    if (hasHeardSince || wasNeverHeard || isOnlyLivePeer(state, vm))
        return ProbeRoundResult::Dead;
    return ProbeRoundResult::AnotherRound;
}

} // namespace

void suspect(MembershipState &state, const VmId &vm, MonotonicTime now, quint64 random,
             MembershipOutput &output)
{
    if (state.suspicions.contains(vm) || state.others[vm].member.state == MemberState::Dead)
        return;
    Suspicion suspicion;
    suspicion.startedAt = now;
    probe(state, vm, suspicion, now, random, output);
    state.suspicions.insert(vm, suspicion);
    if (state.others[vm].member.state == MemberState::Alive)
        setMemberState(state, vm, MemberState::Suspect, now, output);
}

void suspectSilentNeighbours(MembershipState &state, MonotonicTime now, quint64 random,
                             MembershipOutput &output)
{
    for (const VmId &vm : state.neighbours.all()) {
        const MemberRecord &record = state.others[vm];
        if (now - record.lastHeard > silenceTimeout(state, record))
            suspect(state, vm, now, random, output);
    }
}

void finishProbeRounds(MembershipState &state, MonotonicTime now, quint64 random,
                       MembershipOutput &output)
{
    const QList<VmId> probed = state.suspicions.keys();
    for (const VmId &vm : probed) {
        Suspicion &suspicion = state.suspicions[vm];
        const bool allHelpersFailed =
            suspicion.helperCount > 0 && suspicion.unreachableReports >= suspicion.helperCount;
        if (now < suspicion.deadline && !allHelpersFailed)
            continue;
        if (evaluateProbeRound(state, vm, suspicion) == ProbeRoundResult::Dead) {
            state.suspicions.remove(vm);
            setMemberState(state, vm, MemberState::Dead, now, output);
            continue;
        }
        ++suspicion.round;
        probe(state, vm, suspicion, now, random, output);
    }
}

void expireRelayedProbes(MembershipState &state, const VmId &vm, MonotonicTime now,
                         MembershipOutput &output)
{
    state.relayedProbes.removeIf([&](const RelayedProbe &relay) {
        if (relay.target != vm && now < relay.deadline)
            return false;
        output.messages.append({relay.requester, ProbeAnswerMessage{relay.target, false, {}}});
        return true;
    });
}

void clearSuspicion(MembershipState &state, const VmId &vm, MonotonicTime now,
                    MembershipOutput &output)
{
    MemberRecord &record = state.others[vm];
    state.suspicions.remove(vm);
    if (record.member.state != MemberState::Suspect)
        return;
    // Not gossiped: only the member itself refutes a suspicion elsewhere, with a greater
    // incarnation. Otherwise outdated updates would keep replacing each other.
    record.member.state = MemberState::Alive;
    record.stateChangedAt = now;
    output.changes.append(record.member);
}

} // namespace cranberry
