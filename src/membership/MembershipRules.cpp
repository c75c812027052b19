#include "membership/MembershipRules.h"

#include "membership/FailureDetection.h"
#include "membership/MemberTable.h"

#include <algorithm>

namespace cranberry {

namespace {

constexpr int InitialHeartbeatBytes = 30;
/// Weight of one heartbeat in the exponential moving average of heartbeat sizes.
constexpr double SizeSmoothingFactor = 0.05;
/// Seconds of the byte rate that the budget for urgent heartbeats can accumulate.
constexpr double MaxBudgetSeconds = 30;
constexpr qsizetype MaxRelayedProbes = 64;
constexpr Milliseconds MaxGracePeriod{30'000};

double seconds(MonotonicTime::duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

void chargeBudget(MembershipState &state, int messageBytes)
{
    const double bytes = messageBytes + state.settings.headerBytes;
    state.urgentByteBudget -= bytes;
    state.averageHeartbeatBytes += SizeSmoothingFactor * (bytes - state.averageHeartbeatBytes);
}

void refillBudget(MembershipState &state, MonotonicTime::duration elapsed)
{
    const double rate = state.settings.bytesPerSecond;
    state.urgentByteBudget =
        std::min(state.urgentByteBudget + rate * seconds(elapsed), rate * MaxBudgetSeconds);
}

/// Extends all deadlines by @p elapsed after this daemon's process was paused. Its timers are as
/// late as the heartbeats that it waits for, so evaluating them now would declare every
/// neighbour dead.
void compensatePause(MembershipState &state, MonotonicTime::duration elapsed)
{
    const MonotonicTime now = state.lastTick;
    for (MemberRecord &record : state.others)
        record.lastHeard = std::min(record.lastHeard + elapsed, now);
    state.lastMessageAt = std::min(state.lastMessageAt + elapsed, now);
    for (Suspicion &suspicion : state.suspicions)
        suspicion.deadline += elapsed;
    for (RelayedProbe &relay : state.relayedProbes)
        relay.deadline += elapsed;
}

HeartbeatMessage makeHeartbeat(MembershipState &state, MemberRecord &record, MonotonicTime now)
{
    HeartbeatMessage message;
    message.incarnation = state.self.incarnation;
    message.configurationVersion = state.self.configurationVersion;
    message.leaving = state.self.state == MemberState::Leaving;
    message.nextInterval = heartbeatIntervalTo(state, record.member.vm);
    record.nextHeartbeatAt = now + message.nextInterval;
    // A member that has not been heard may know neither this daemon nor its address.
    if (!record.hasBeenHeard)
        message.members.append(state.self);
    collectGossip(state.gossip, record.member.vm, state.settings.maxGossipBytes, message);
    return message;
}

void sendHeartbeat(MembershipState &state, MemberRecord &record, HeartbeatMessage message,
                   MembershipOutput &output)
{
    chargeBudget(state, int(heartbeatToCbor(message).toCborValue().toCbor().size()));
    output.messages.append({record.member.vm, std::move(message)});
}

/// Adds one random entry of the table (anti-entropy), which repairs lost updates without a call
/// to the platform.
void addRandomEntry(const MembershipState &state, quint64 random, HeartbeatMessage &message)
{
    if (state.others.isEmpty())
        return;
    const auto entry =
        std::next(state.others.constBegin(), qsizetype(random % quint64(state.others.size())));
    Member member = entry->member;
    if (member.state == MemberState::Suspect)
        member.state = MemberState::Alive;
    message.members.append(member);
}

/// The neighbours and the inbound neighbours, which also suspect this daemon when its heartbeats
/// are missing.
QList<VmId> heartbeatReceivers(const MembershipState &state, MonotonicTime now)
{
    QList<VmId> receivers = state.neighbours.all();
    for (auto inbound = state.inboundNeighbours.constBegin();
         inbound != state.inboundNeighbours.constEnd(); ++inbound) {
        const auto record = state.others.constFind(inbound.key());
        if (now < inbound.value() && record != state.others.constEnd()
            && record->member.state != MemberState::Dead
            && !state.neighbours.contains(inbound.key()))
            receivers.append(inbound.key());
    }
    return receivers;
}

void sendDueHeartbeats(MembershipState &state, MonotonicTime now, quint64 random,
                       MembershipOutput &output)
{
    for (const VmId &vm : heartbeatReceivers(state, now)) {
        MemberRecord &record = state.others[vm];
        const bool isDue = now >= record.nextHeartbeatAt;
        const bool urgent = state.urgentByteBudget > 0 && hasPendingGossip(state.gossip, vm);
        if (!isDue && !urgent)
            continue;
        HeartbeatMessage message = makeHeartbeat(state, record, now);
        if (isDue && !state.neighbours.ring.contains(vm))
            addRandomEntry(state, random, message);
        sendHeartbeat(state, record, std::move(message), output);
    }
}

/// Sends the member its own Dead entry. It may be running without knowing that it was declared
/// dead, and refutes the entry when it receives it.
void notifyDeadMember(MembershipState &state, MemberRecord &record, MonotonicTime now,
                      MembershipOutput &output)
{
    HeartbeatMessage message = makeHeartbeat(state, record, now);
    message.members.prepend(record.member);
    sendHeartbeat(state, record, std::move(message), output);
}

/// Contacts one random dead member per interval. After a network partition each side has declared
/// the other dead, and without this they would never exchange heartbeats again.
void contactDead(MembershipState &state, MonotonicTime now, quint64 random,
                 MembershipOutput &output)
{
    if (now < state.nextDeadContactAt)
        return;
    state.nextDeadContactAt = now + state.settings.deadContactInterval;
    QList<VmId> dead;
    for (const MemberRecord &record : std::as_const(state.others)) {
        if (record.member.state == MemberState::Dead)
            dead.append(record.member.vm);
    }
    if (dead.isEmpty())
        return;
    MemberRecord &record = state.others[dead[qsizetype(random % quint64(dead.size()))]];
    notifyDeadMember(state, record, now, output);
}

/// Applies the sender's own state from its heartbeat. Returns false if this daemon has declared
/// it dead or does not keep it in the table.
bool applySenderState(MembershipState &state, const VmId &from, const HeartbeatMessage &message,
                      MonotonicTime now, MembershipOutput &output)
{
    Member update;
    const auto known = state.others.constFind(from);
    if (known != state.others.constEnd())
        update = known->member;
    update.vm = from;
    update.incarnation = message.incarnation;
    update.configurationVersion = message.configurationVersion;
    update.state = message.leaving ? MemberState::Leaving : MemberState::Alive;
    if (known == state.others.constEnd() || supersedes(update, known->member))
        applyMemberUpdate(state, update, from, now, output);
    const auto senderEntry = state.others.find(from);
    if (senderEntry == state.others.end())
        return false;
    MemberRecord &record = *senderEntry;
    if (record.member.state == MemberState::Dead) {
        notifyDeadMember(state, record, now, output);
        return false;
    }
    // A heartbeat from the member itself ends the suspicion on this daemon.
    clearSuspicion(state, from, now, output);
    if (record.member.configurationVersion != message.configurationVersion)
        output.tableChanged = true;
    record.member.configurationVersion = message.configurationVersion;
    record.lastHeard = now;
    record.announcedInterval = message.nextInterval;
    record.gracePeriod = Milliseconds(0);
    record.hasBeenHeard = true;
    if (!state.neighbours.contains(from))
        state.inboundNeighbours.insert(
            from, now + state.settings.missedHeartbeatLimit * message.nextInterval);
    return true;
}

/// Sends newer entries to a member that sent outdated ones.
void sendCorrections(MembershipState &state, const VmId &to, MonotonicTime now,
                     MembershipOutput &output)
{
    if (output.corrections.isEmpty())
        return;
    MemberRecord &record = state.others[to];
    HeartbeatMessage message = makeHeartbeat(state, record, now);
    message.members.append(output.corrections);
    sendHeartbeat(state, record, std::move(message), output);
}

void applyBroadcasts(MembershipState &state, const QList<Broadcast> &broadcasts, const VmId &from,
                     MonotonicTime now, MembershipOutput &output)
{
    for (const Broadcast &item : broadcasts) {
        if (!queueBroadcast(state.gossip, item, from, now, state.settings.maxGossipItems)
            || item.origin == state.self.vm)
            continue;
        output.broadcasts.append(item);
        output.urgent = true;
    }
}

} // namespace

MembershipState makeMembershipState(const Member &self, const MembershipSettings &settings,
                                    MonotonicTime now)
{
    MembershipState state;
    state.settings = settings;
    state.self = self;
    state.lastTick = now;
    state.lastMessageAt = now;
    state.averageHeartbeatBytes = settings.headerBytes + InitialHeartbeatBytes;
    state.urgentByteBudget = settings.bytesPerSecond * MaxBudgetSeconds;
    return state;
}

MembershipOutput applyListedMembers(MembershipState &state, const QList<Member> &listed,
                                    MonotonicTime now)
{
    MembershipOutput output;
    for (const Member &member : listed) {
        if (member.vm == state.self.vm)
            continue;
        const auto known = state.others.find(member.vm);
        const bool wasNeverHeard = known != state.others.end()
            && known->member.incarnation == Incarnation()
            && known->member.state == MemberState::Dead;
        if (wasNeverHeard)
            state.others.erase(known);
        if (wasNeverHeard || known == state.others.end())
            applyMemberUpdate(state, member, VmId(), now, output);
        else
            fillMissingAddress(known->member, member, output);
    }
    // Every daemon reads the same list, so entries from it are not gossiped.
    state.gossip.items.removeIf([](const GossipItem &item) {
        const auto *member = std::get_if<Member>(&item.content);
        return member && member->incarnation == Incarnation() && member->state != MemberState::Dead;
    });
    output.urgent = true;
    return output;
}

MembershipOutput onTick(MembershipState &state, MonotonicTime now, quint64 random)
{
    MembershipOutput output;
    const auto elapsed = now - state.lastTick;
    state.lastTick = now;
    if (elapsed > state.settings.heartbeatInterval)
        compensatePause(state, elapsed);
    refillBudget(state, elapsed);
    expireMembers(state, now, output);
    refreshNeighbours(state, now);
    expireRelayedProbes(state, VmId(), now, output);
    finishProbeRounds(state, now, random, output);
    suspectSilentNeighbours(state, now, random, output);
    refreshNeighbours(state, now);
    sendDueHeartbeats(state, now, random, output);
    contactDead(state, now, random, output);
    pruneGossip(state.gossip, state.neighbours.all(), now, state.settings.gossipLifetime);
    return output;
}

MembershipOutput onHeartbeat(MembershipState &state, const VmId &from,
                             const HeartbeatMessage &message, int bytes, MonotonicTime now)
{
    MembershipOutput output;
    chargeBudget(state, bytes);
    state.lastMessageAt = now;
    for (const Member &member : message.members)
        applyMemberUpdate(state, member, from, now, output);
    const bool isSenderLive = applySenderState(state, from, message, now, output);
    applyBroadcasts(state, message.broadcasts, from, now, output);
    if (isSenderLive)
        sendCorrections(state, from, now, output);
    if (isSenderLive && state.self.configurationVersion < message.configurationVersion)
        output.peerVersions.append({from, message.configurationVersion});
    return output;
}

MembershipOutput onProbe(MembershipState &state, const VmId &from, const ProbeMessage &message,
                         MonotonicTime now)
{
    MembershipOutput output;
    state.lastMessageAt = now;
    if (message.target == state.self.vm) {
        output.messages.append(
            {from, ProbeAnswerMessage{state.self.vm, true, state.self.incarnation}});
        return output;
    }
    if (!state.others.contains(message.target) || state.relayedProbes.size() >= MaxRelayedProbes)
        return output;
    state.relayedProbes.append({from, message.target, now + state.settings.relayTimeout});
    output.messages.append({message.target, ProbeMessage{message.target}});
    return output;
}

MembershipOutput onProbeAnswer(MembershipState &state, const VmId &from,
                               const ProbeAnswerMessage &message, MonotonicTime now)
{
    MembershipOutput output;
    state.lastMessageAt = now;
    if (message.reached) {
        state.relayedProbes.removeIf([&](const RelayedProbe &relay) {
            if (relay.target != message.target)
                return false;
            output.messages.append({relay.requester, message});
            return true;
        });
    }
    const auto suspicion = state.suspicions.find(message.target);
    if (suspicion == state.suspicions.end())
        return output;
    if (!message.reached) {
        ++suspicion->unreachableReports;
        return output;
    }
    MemberRecord &record = state.others[message.target];
    record.lastHeard = now;
    // Other members reach it and this daemon does not. The grace period avoids a new probe after
    // each missed heartbeat.
    if (from != message.target)
        record.gracePeriod =
            std::clamp(2 * record.gracePeriod, record.announcedInterval, MaxGracePeriod);
    clearSuspicion(state, message.target, now, output);
    return output;
}

MembershipOutput onLinkLost(MembershipState &state, const VmId &vm, MonotonicTime now,
                            quint64 random)
{
    MembershipOutput output;
    if (!state.others.contains(vm))
        return output;
    expireRelayedProbes(state, vm, now, output);
    if (state.neighbours.contains(vm))
        suspect(state, vm, now, random, output);
    return output;
}

MembershipOutput leave(MembershipState &state, MonotonicTime now)
{
    MembershipOutput output;
    state.self.state = MemberState::Leaving;
    announceSelf(state, now, output);
    return output;
}

MembershipOutput setOwnConfigurationVersion(MembershipState &state, ConfigurationVersion version)
{
    MembershipOutput output;
    if (version <= state.self.configurationVersion)
        return output;
    state.self.configurationVersion = version;
    output.tableChanged = true;
    if (state.urgentByteBudget > 0) {
        for (const VmId &vm : state.neighbours.all())
            state.others[vm].nextHeartbeatAt = MonotonicTime();
    }
    output.urgent = true;
    return output;
}

MembershipOutput addBroadcast(MembershipState &state, PeerMessageKind kind, const QCborMap &body,
                              qint64 number, MonotonicTime now)
{
    MembershipOutput output;
    const Broadcast item{kind, state.self.vm, number, body};
    queueBroadcast(state.gossip, item, VmId(), now, state.settings.maxGossipItems);
    output.urgent = true;
    return output;
}

void recordBytesSent(MembershipState &state, int bytes)
{
    state.urgentByteBudget -= bytes;
    state.averageHeartbeatBytes += SizeSmoothingFactor * bytes;
}

bool isIsolated(const MembershipState &state, MonotonicTime now)
{
    return now - state.lastMessageAt > state.settings.isolationTimeout;
}

} // namespace cranberry
