#include "membership/MemberTable.h"

#include <algorithm>

namespace cranberry {

namespace {

/// Minimum interval between two scans of the whole table.
constexpr Milliseconds ExpiryInterval{1000};
constexpr double MillisecondsPerSecond = 1000.0;

/// Assumed until the first heartbeat of a new neighbour, which has to choose this daemon as its
/// neighbour before it sends one.
constexpr Milliseconds NewNeighbourHeartbeatInterval{1500};

int statePrecedence(MemberState state)
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

/// Handles an update about this daemon itself. If it reports this daemon dead or suspect, or has a
/// greater incarnation because an earlier process of this VM ran with its clock ahead, this
/// daemon announces a still greater incarnation, which supersedes the update everywhere.
void refute(MembershipState &state, const Member &update, MonotonicTime now,
            MembershipOutput &output)
{
    const bool isFailureReport =
        update.state == MemberState::Dead || update.state == MemberState::Suspect;
    const bool isNewerIncarnation = state.self.incarnation < update.incarnation;
    const bool isSameIncarnation = state.self.incarnation == update.incarnation;
    if (!isNewerIncarnation && !(isSameIncarnation && isFailureReport)) {
        if (isFailureReport)
            output.corrections.append(state.self);
        return;
    }
    if (MaxIncarnation <= update.incarnation)
        return;
    state.self.incarnation = update.incarnation + Incarnation(1);
    announceSelf(state, now, output);
}

/// True for the first update about a member that every daemon knows from the platform's list.
/// These are not gossiped: when a whole fleet starts, their number is the square of the number of
/// daemons.
bool isFirstAnnouncement(const Member &update, const Member &known)
{
    return known.incarnation == Incarnation() && known.state == MemberState::Alive
        && update.state == MemberState::Alive;
}

void addRecord(MembershipState &state, const Member &member, MonotonicTime now)
{
    MemberRecord record;
    record.member = member;
    record.lastHeard = now;
    record.announcedInterval = NewNeighbourHeartbeatInterval;
    record.stateChangedAt = now;
    state.others.insert(member.vm, record);
    state.neighboursOutdated = true;
}

} // namespace

bool supersedes(const Member &update, const Member &known)
{
    if (update.incarnation != known.incarnation)
        return known.incarnation < update.incarnation;
    return statePrecedence(update.state) > statePrecedence(known.state);
}

void fillMissingAddress(Member &known, const Member &update, MembershipOutput &output)
{
    if (known.peerPort != 0 || update.peerPort == 0)
        return;
    known.address = update.address;
    known.peerPort = update.peerPort;
    known.dataCentre = update.dataCentre;
    output.changes.append(known);
}

void applyMemberUpdate(MembershipState &state, const Member &update, const VmId &from,
                       MonotonicTime now, MembershipOutput &output)
{
    if (update.vm == state.self.vm) {
        refute(state, update, now, output);
        return;
    }
    const auto found = state.others.find(update.vm);
    const bool shouldGossip =
        found == state.others.end() || !isFirstAnnouncement(update, found->member);
    if (found == state.others.end()) {
        if (state.others.size() >= state.settings.maxMembers)
            return;
        addRecord(state, update, now);
    } else if (supersedes(update, found->member)) {
        const bool hasRestarted = found->member.incarnation < update.incarnation;
        const bool wasDead = found->member.state == MemberState::Dead;
        Member merged = update;
        if (merged.peerPort == 0) {
            merged.address = found->member.address;
            merged.peerPort = found->member.peerPort;
            merged.dataCentre = found->member.dataCentre;
        }
        found->member = merged;
        found->stateChangedAt = now;
        if (hasRestarted) {
            found->hasBeenHeard = false;
            state.suspicions.remove(update.vm);
        }
        if (wasDead || update.state == MemberState::Dead)
            state.neighboursOutdated = true;
        if (wasDead) {
            found->lastHeard = now;
            found->announcedInterval = NewNeighbourHeartbeatInterval;
        }
    } else {
        Member &known = found->member;
        fillMissingAddress(known, update, output);
        if (known.incarnation == update.incarnation
            && known.configurationVersion < update.configurationVersion) {
            known.configurationVersion = update.configurationVersion;
            output.tableChanged = true;
        }
        if (supersedes(known, update) && !isFirstAnnouncement(known, update))
            output.corrections.append(known);
        else
            markMemberKnown(state.gossip, update, from);
        return;
    }
    if (update.state == MemberState::Dead)
        state.suspicions.remove(update.vm);
    const Member &current = state.others[update.vm].member;
    output.changes.append(current);
    if (!shouldGossip)
        return;
    queueMemberUpdate(state.gossip, current, from, now, state.settings.maxGossipItems);
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
    record.stateChangedAt = now;
    output.changes.append(record.member);
    if (memberState == MemberState::Suspect)
        return;
    queueMemberUpdate(state.gossip, record.member, VmId(), now, state.settings.maxGossipItems);
    output.urgent = true;
}

void announceSelf(MembershipState &state, MonotonicTime now, MembershipOutput &output)
{
    queueMemberUpdate(state.gossip, state.self, VmId(), now, state.settings.maxGossipItems);
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
    const Neighbours previous = state.neighbours;
    state.neighbours = chooseNeighbours(state.self.vm, present, state.settings.fullMeshLimit);
    for (const VmId &vm : state.neighbours.all()) {
        if (previous.contains(vm)
            && previous.ring.contains(vm) == state.neighbours.ring.contains(vm))
            continue;
        MemberRecord &record = state.others[vm];
        record.lastHeard = now;
        record.announcedInterval =
            std::max(record.announcedInterval, NewNeighbourHeartbeatInterval);
        record.nextHeartbeatAt = now;
    }
}

void expireMembers(MembershipState &state, MonotonicTime now, MembershipOutput &output)
{
    if (now < state.nextExpiryAt)
        return;
    state.nextExpiryAt = now + ExpiryInterval;
    for (auto inbound = state.inboundNeighbours.begin(); inbound != state.inboundNeighbours.end();)
        inbound =
            inbound.value() < now ? state.inboundNeighbours.erase(inbound) : std::next(inbound);
    for (auto entry = state.others.begin(); entry != state.others.end();) {
        const Milliseconds age =
            std::chrono::duration_cast<Milliseconds>(now - entry->stateChangedAt);
        const MemberState memberState = entry->member.state;
        if (memberState == MemberState::Dead && age > state.settings.deadRetention) {
            output.dropped.append(entry.key());
            entry = state.others.erase(entry);
            continue;
        }
        ++entry;
    }
}

Milliseconds heartbeatIntervalTo(const MembershipState &state, const VmId &neighbour)
{
    const MembershipSettings &settings = state.settings;
    const double periodicBytes = settings.bytesPerSecond * settings.periodicShare;
    const double targetInterval = double(settings.heartbeatInterval.count());
    // Counted twice: a neighbour sends as much to this daemon as this daemon sends to it.
    const double perNeighbour = 2 * state.averageHeartbeatBytes * MillisecondsPerSecond;
    const double ringBytes = perNeighbour * double(state.neighbours.ring.size());
    const double fingerBytes = perNeighbour * double(state.neighbours.fingers.size());
    if ((ringBytes + fingerBytes) / targetInterval <= periodicBytes)
        return settings.heartbeatInterval;
    // Ring neighbours keep the target interval as long as a tenth of the budget is left for
    // fingers.
    constexpr double RingShare = 0.9;
    const double ringInterval = std::max(targetInterval, ringBytes / (periodicBytes * RingShare));
    if (!state.neighbours.fingers.contains(neighbour))
        return Milliseconds(qint64(ringInterval));
    const double remainingBytes = periodicBytes - ringBytes / ringInterval;
    return Milliseconds(qint64(std::max(targetInterval, fingerBytes / remainingBytes)));
}

} // namespace cranberry
