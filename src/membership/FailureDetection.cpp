#include "membership/FailureDetection.h"

#include "membership/MemberTable.h"

#include <algorithm>

namespace cranberry {

namespace {

constexpr int ProbeHelpers = 2;
/// A member heard within this time can be asked to probe.
constexpr Milliseconds RecentlyHeard{15'000};

bool isRecent(const MemberRecord &record, MonotonicTime now)
{
    return record.heard && now - record.lastHeard < RecentlyHeard;
}

/// Members that can probe @p vm, beginning at a random one.
QList<VmId> helpersFor(const MembershipState &state, const VmId &vm, MonotonicTime now,
                       quint64 random)
{
    QList<VmId> able;
    for (const VmId &neighbour : state.neighbours.all()) {
        const MemberRecord &record = *state.others.constFind(neighbour);
        if (neighbour != vm && record.member.state != MemberState::Dead
            && !state.suspicions.contains(neighbour) && isRecent(record, now))
            able.append(neighbour);
    }
    if (able.isEmpty())
        return able;
    std::rotate(able.begin(), able.begin() + qsizetype(random % quint64(able.size())), able.end());
    return able.mid(0, ProbeHelpers);
}

void probe(const MembershipState &state, const VmId &vm, Suspicion &suspicion, MonotonicTime now,
           quint64 random, MembershipOutput &output)
{
    const QList<VmId> helpers = helpersFor(state, vm, now, random);
    suspicion.deadline = now + state.settings.probeTimeout;
    suspicion.helpers = int(helpers.size());
    suspicion.unreached = 0;
    output.messages.append({vm, ProbeMessage{vm}});
    for (const VmId &helper : helpers)
        output.messages.append({helper, ProbeMessage{vm}});
}

Milliseconds allowedSilence(const MembershipState &state, const MemberRecord &record)
{
    const Milliseconds promised = std::max(record.promised, state.settings.heartbeat);
    return promised * state.settings.missedHeartbeats + record.grace;
}

bool isOnlyOther(const MembershipState &state, const VmId &vm)
{
    return std::all_of(state.others.begin(), state.others.end(), [&](const MemberRecord &record) {
        return record.member.vm == vm || record.member.state == MemberState::Dead;
    });
}

/// What a round of probes showed.
enum class ProbeVerdict {
    Dead,
    AnotherRound,
};

ProbeVerdict verdict(const MembershipState &state, const VmId &vm, const Suspicion &suspicion)
{
    if (suspicion.unreached > 0)
        return ProbeVerdict::Dead;
    if (suspicion.round < state.settings.probeRounds)
        return ProbeVerdict::AnotherRound;
    // No helper answered either. A daemon that is itself cut off hears nobody: it must not
    // take everyone else for dead, so it keeps asking until it has heard somebody since. Of a
    // listed member that never spoke it may be said, for its first word takes it back.
    const bool heardSince = suspicion.since < state.lastHeardAnyone;
    const bool neverSpoke = state.others.constFind(vm)->member.incarnation == Incarnation();
    if (heardSince || neverSpoke || isOnlyOther(state, vm))
        return ProbeVerdict::Dead;
    return ProbeVerdict::AnotherRound;
}

} // namespace

void suspect(MembershipState &state, const VmId &vm, MonotonicTime now, quint64 random,
             MembershipOutput &output)
{
    if (state.suspicions.contains(vm) || state.others[vm].member.state == MemberState::Dead)
        return;
    Suspicion suspicion;
    suspicion.since = now;
    probe(state, vm, suspicion, now, random, output);
    state.suspicions.insert(vm, suspicion);
    if (state.others[vm].member.state == MemberState::Alive)
        setMemberState(state, vm, MemberState::Suspect, now, output);
}

void suspectSilent(MembershipState &state, MonotonicTime now, quint64 random,
                   MembershipOutput &output)
{
    for (const VmId &vm : state.neighbours.all()) {
        const MemberRecord &record = state.others[vm];
        if (now - record.lastHeard > allowedSilence(state, record))
            suspect(state, vm, now, random, output);
    }
}

void endProbes(MembershipState &state, MonotonicTime now, quint64 random, MembershipOutput &output)
{
    const QList<VmId> probed = state.suspicions.keys();
    for (const VmId &vm : probed) {
        Suspicion &suspicion = state.suspicions[vm];
        const bool allUnreached = suspicion.helpers > 0 && suspicion.unreached >= suspicion.helpers;
        if (now < suspicion.deadline && !allUnreached)
            continue;
        if (verdict(state, vm, suspicion) == ProbeVerdict::Dead) {
            state.suspicions.remove(vm);
            setMemberState(state, vm, MemberState::Dead, now, output);
            continue;
        }
        ++suspicion.round;
        probe(state, vm, suspicion, now, random, output);
    }
}

void endRelays(MembershipState &state, const VmId &vm, MonotonicTime now, MembershipOutput &output)
{
    state.relays.removeIf([&](const RelayedProbe &relay) {
        if (relay.target != vm && now < relay.deadline)
            return false;
        output.messages.append({relay.origin, ProbeAnswerMessage{relay.target, false, {}}});
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
    // Not passed on: only the member itself can clear its name elsewhere, by a greater
    // incarnation, else old words would chase each other.
    record.member.state = MemberState::Alive;
    record.stateSince = now;
    output.changes.append(record.member);
}

} // namespace cranberry
