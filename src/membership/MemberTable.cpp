#include "membership/MemberTable.h"

#include <algorithm>

namespace cranberry {

namespace {

/// Whole tables are gone through no more often.
constexpr Milliseconds ExpiryInterval{1000};
constexpr double MillisecondsPerSecond = 1000.0;

/// A neighbour chosen newly has to choose this daemon too before it can be heard.
constexpr Milliseconds NewNeighbourPromise{1500};

int rank(MemberState state)
{
    switch (state) {
    case MemberState::Alive:
        return 0;
    case MemberState::Suspect:
        return 1;
    case MemberState::Leaving:
        return 2;
    case MemberState::Dead:
        break;
    }
    return 3;
}

/// A word that this daemon is dead or suspect, or of a run of its VM that started after this
/// one (its clock was ahead): a greater incarnation sets it right everywhere.
void refute(MembershipState &state, const Member &said, MonotonicTime now, MembershipOutput &output)
{
    const bool calledGone = said.state == MemberState::Dead || said.state == MemberState::Suspect;
    const bool newer = state.self.incarnation < said.incarnation;
    const bool same = state.self.incarnation == said.incarnation;
    if (!newer && !(same && calledGone)) {
        if (calledGone)
            output.corrections.append(state.self);
        return;
    }
    if (LargestIncarnation <= said.incarnation)
        return;
    state.self.incarnation = said.incarnation + Incarnation(1);
    announceSelf(state, now, output);
}

/// The first word of a listed member that all know of by the list. When a whole fleet starts,
/// there are as many of them as daemons squared: they are not passed on.
bool isFirstWord(const Member &said, const Member &known)
{
    return known.incarnation == Incarnation() && known.state == MemberState::Alive
        && said.state == MemberState::Alive;
}

void addRecord(MembershipState &state, const Member &member, MonotonicTime now)
{
    MemberRecord record;
    record.member = member;
    record.lastHeard = now;
    record.promised = NewNeighbourPromise;
    record.stateSince = now;
    state.others.insert(member.vm, record);
    state.neighboursOutdated = true;
}

} // namespace

bool replaces(const Member &said, const Member &known)
{
    if (said.incarnation != known.incarnation)
        return known.incarnation < said.incarnation;
    return rank(said.state) > rank(known.state);
}

void fillAddress(Member &known, const Member &said, MembershipOutput &output)
{
    if (known.peerPort != 0 || said.peerPort == 0)
        return;
    known.address = said.address;
    known.peerPort = said.peerPort;
    known.dataCentre = said.dataCentre;
    output.changes.append(known);
}

void takeWord(MembershipState &state, const Member &said, const VmId &from, MonotonicTime now,
              MembershipOutput &output)
{
    if (said.vm == state.self.vm) {
        refute(state, said, now, output);
        return;
    }
    const auto found = state.others.find(said.vm);
    const bool passOn = found == state.others.end() || !isFirstWord(said, found->member);
    if (found == state.others.end()) {
        if (state.others.size() >= state.settings.mostMembers)
            return;
        addRecord(state, said, now);
    } else if (replaces(said, found->member)) {
        const bool restarted = found->member.incarnation < said.incarnation;
        const bool wasDead = found->member.state == MemberState::Dead;
        Member merged = said;
        if (merged.peerPort == 0) {
            merged.address = found->member.address;
            merged.peerPort = found->member.peerPort;
            merged.dataCentre = found->member.dataCentre;
        }
        found->member = merged;
        found->stateSince = now;
        if (restarted) {
            found->heard = false;
            state.suspicions.remove(said.vm);
        }
        if (wasDead || said.state == MemberState::Dead)
            state.neighboursOutdated = true;
        if (wasDead) {
            found->lastHeard = now;
            found->promised = NewNeighbourPromise;
        }
    } else {
        Member &known = found->member;
        fillAddress(known, said, output);
        if (known.incarnation == said.incarnation
            && known.configurationVersion < said.configurationVersion) {
            known.configurationVersion = said.configurationVersion;
            output.tableChanged = true;
        }
        if (replaces(known, said) && !isFirstWord(known, said))
            output.corrections.append(known);
        else
            noteMemberKnown(state.gossip, said, from);
        return;
    }
    if (said.state == MemberState::Dead)
        state.suspicions.remove(said.vm);
    const Member &current = state.others[said.vm].member;
    output.changes.append(current);
    if (!passOn)
        return;
    gossipMember(state.gossip, current, from, now, state.settings.gossipItems);
    output.urgent = true;
}

void setMemberState(MembershipState &state, const VmId &vm, MemberState memberState,
                    MonotonicTime now, MembershipOutput &output)
{
    MemberRecord &record = state.others[vm];
    if (record.member.state == memberState)
        return;
    if (record.member.state == MemberState::Dead || memberState == MemberState::Dead)
        state.neighboursOutdated = true;
    record.member.state = memberState;
    record.stateSince = now;
    output.changes.append(record.member);
    if (memberState == MemberState::Suspect)
        return;
    gossipMember(state.gossip, record.member, VmId(), now, state.settings.gossipItems);
    output.urgent = true;
}

void announceSelf(MembershipState &state, MonotonicTime now, MembershipOutput &output)
{
    gossipMember(state.gossip, state.self, VmId(), now, state.settings.gossipItems);
    output.changes.append(state.self);
    output.urgent = true;
}

void refreshNeighbours(MembershipState &state, MonotonicTime now)
{
    if (!state.neighboursOutdated)
        return;
    state.neighboursOutdated = false;
    QList<VmId> present;
    for (const MemberRecord &record : std::as_const(state.others)) {
        if (record.member.state != MemberState::Dead)
            present.append(record.member.vm);
    }
    const Neighbours before = state.neighbours;
    state.neighbours = chooseNeighbours(state.self.vm, present, state.settings.fullMesh);
    for (const VmId &vm : state.neighbours.all()) {
        if (before.contains(vm) && before.ring.contains(vm) == state.neighbours.ring.contains(vm))
            continue;
        MemberRecord &record = state.others[vm];
        record.lastHeard = now;
        record.promised = std::max(record.promised, NewNeighbourPromise);
        record.nextBeat = now;
    }
}

void expireMembers(MembershipState &state, MonotonicTime now, MembershipOutput &output)
{
    if (now < state.nextExpiry)
        return;
    state.nextExpiry = now + ExpiryInterval;
    for (auto guest = state.guests.begin(); guest != state.guests.end();)
        guest = guest.value() < now ? state.guests.erase(guest) : std::next(guest);
    for (auto entry = state.others.begin(); entry != state.others.end();) {
        const Milliseconds age = std::chrono::duration_cast<Milliseconds>(now - entry->stateSince);
        const MemberState memberState = entry->member.state;
        if (memberState == MemberState::Dead && age > state.settings.deadRetention) {
            output.dropped.append(entry.key());
            entry = state.others.erase(entry);
            continue;
        }
        ++entry;
    }
}

Milliseconds heartbeatInterval(const MembershipState &state, const VmId &neighbour)
{
    const MembershipSettings &settings = state.settings;
    const double periodic = settings.bytesPerSecond * settings.periodicShare;
    const double wanted = double(settings.heartbeat.count());
    // Both ways: what this daemon sends to a neighbour it gets from it as well.
    const double perNeighbour = 2 * state.averageBytes * MillisecondsPerSecond;
    const double ringBytes = perNeighbour * double(state.neighbours.ring.size());
    const double fingerBytes = perNeighbour * double(state.neighbours.fingers.size());
    if ((ringBytes + fingerBytes) / wanted <= periodic)
        return settings.heartbeat;
    // The ring keeps its pace as long as it leaves a tenth for the fingers.
    constexpr double RingShare = 0.9;
    const double ringInterval = std::max(wanted, ringBytes / (periodic * RingShare));
    if (!state.neighbours.fingers.contains(neighbour))
        return Milliseconds(qint64(ringInterval));
    const double left = periodic - ringBytes / ringInterval;
    return Milliseconds(qint64(std::max(wanted, fingerBytes / left)));
}

} // namespace cranberry
