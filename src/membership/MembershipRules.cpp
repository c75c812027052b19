#include "membership/MembershipRules.h"

#include "membership/FailureDetection.h"
#include "membership/MemberTable.h"

#include <algorithm>

namespace cranberry {

namespace {

constexpr int PlainHeartbeatBytes = 30;
/// Weight of one heartbeat in the average of their sizes.
constexpr double AverageWeight = 0.05;
/// Seconds of the byte rate that may be saved up for urgent heartbeats.
constexpr double AllowanceSeconds = 30;
constexpr qsizetype MostRelays = 64;
constexpr Milliseconds LongestGrace{30'000};

double seconds(MonotonicTime::duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

void spend(MembershipState &state, int messageBytes)
{
    const double bytes = messageBytes + state.settings.headerBytes;
    state.allowance -= bytes;
    state.averageBytes += AverageWeight * (bytes - state.averageBytes);
}

void refill(MembershipState &state, MonotonicTime::duration passed)
{
    const double rate = state.settings.bytesPerSecond;
    state.allowance = std::min(state.allowance + rate * seconds(passed), rate * AllowanceSeconds);
}

/// This daemon stood still: its own timers are as late as the heartbeats it waits for. Judging
/// now would call every neighbour dead, so all get the lost time back.
void forgivePause(MembershipState &state, MonotonicTime::duration passed)
{
    const MonotonicTime now = state.lastTick;
    for (MemberRecord &record : state.others)
        record.lastHeard = std::min(record.lastHeard + passed, now);
    state.lastHeardAnyone = std::min(state.lastHeardAnyone + passed, now);
    for (Suspicion &suspicion : state.suspicions)
        suspicion.deadline += passed;
    for (RelayedProbe &relay : state.relays)
        relay.deadline += passed;
}

HeartbeatMessage heartbeatTo(MembershipState &state, MemberRecord &record, MonotonicTime now)
{
    HeartbeatMessage message;
    message.incarnation = state.self.incarnation;
    message.configurationVersion = state.self.configurationVersion;
    message.leaving = state.self.state == MemberState::Leaving;
    message.next = heartbeatInterval(state, record.member.vm);
    record.nextBeat = now + message.next;
    // Until it was heard it may know neither this daemon nor its address.
    if (!record.heard)
        message.members.append(state.self);
    takeGossip(state.gossip, record.member.vm, state.settings.gossipBytes, message);
    return message;
}

void sendHeartbeat(MembershipState &state, MemberRecord &record, HeartbeatMessage message,
                   MembershipOutput &output)
{
    spend(state, int(heartbeatToCbor(message).toCborValue().toCbor().size()));
    output.messages.append({record.member.vm, std::move(message)});
}

/// One entry of the table in turn by chance: what some word did not reach is mended in time
/// without a call to the platform.
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

/// The neighbours and the guests: those too would suspect this daemon if it stayed silent.
QList<VmId> heartbeatReceivers(const MembershipState &state, MonotonicTime now)
{
    QList<VmId> receivers = state.neighbours.all();
    for (auto guest = state.guests.constBegin(); guest != state.guests.constEnd(); ++guest) {
        const auto record = state.others.constFind(guest.key());
        if (now < guest.value() && record != state.others.constEnd()
            && record->member.state != MemberState::Dead && !state.neighbours.contains(guest.key()))
            receivers.append(guest.key());
    }
    return receivers;
}

void sendDue(MembershipState &state, MonotonicTime now, quint64 random, MembershipOutput &output)
{
    for (const VmId &vm : heartbeatReceivers(state, now)) {
        MemberRecord &record = state.others[vm];
        const bool due = now >= record.nextBeat;
        const bool urgent = state.allowance > 0 && gossipWaits(state.gossip, vm);
        if (!due && !urgent)
            continue;
        HeartbeatMessage message = heartbeatTo(state, record, now);
        if (due && !state.neighbours.ring.contains(vm))
            addRandomEntry(state, random, message);
        sendHeartbeat(state, record, std::move(message), output);
    }
}

/// It goes on as before it was called dead and cannot know: tell it, so that it refutes.
void tellItIsDead(MembershipState &state, MemberRecord &record, MonotonicTime now,
                  MembershipOutput &output)
{
    HeartbeatMessage message = heartbeatTo(state, record, now);
    message.members.prepend(record.member);
    sendHeartbeat(state, record, std::move(message), output);
}

/// After a partition each side has the other for dead and would never speak to it again.
void contactDead(MembershipState &state, MonotonicTime now, quint64 random,
                 MembershipOutput &output)
{
    if (now < state.nextDeadContact)
        return;
    state.nextDeadContact = now + state.settings.deadContact;
    QList<VmId> dead;
    for (const MemberRecord &record : std::as_const(state.others)) {
        if (record.member.state == MemberState::Dead)
            dead.append(record.member.vm);
    }
    if (dead.isEmpty())
        return;
    MemberRecord &record = state.others[dead[qsizetype(random % quint64(dead.size()))]];
    tellItIsDead(state, record, now, output);
}

/// Takes the sender's own state from its heartbeat. False if it is called dead here.
bool takeSender(MembershipState &state, const VmId &from, const HeartbeatMessage &message,
                MonotonicTime now, MembershipOutput &output)
{
    Member said;
    const auto known = state.others.constFind(from);
    if (known != state.others.constEnd())
        said = known->member;
    said.vm = from;
    said.incarnation = message.incarnation;
    said.configurationVersion = message.configurationVersion;
    said.state = message.leaving ? MemberState::Leaving : MemberState::Alive;
    if (known == state.others.constEnd() || replaces(said, known->member))
        takeWord(state, said, from, now, output);
    const auto taken = state.others.find(from);
    if (taken == state.others.end())
        return false;
    MemberRecord &record = *taken;
    if (record.member.state == MemberState::Dead) {
        tellItIsDead(state, record, now, output);
        return false;
    }
    // Heard itself, it is no longer suspect here.
    clearSuspicion(state, from, now, output);
    if (record.member.configurationVersion != message.configurationVersion)
        output.tableChanged = true;
    record.member.configurationVersion = message.configurationVersion;
    record.lastHeard = now;
    record.promised = message.next;
    record.grace = Milliseconds(0);
    record.heard = true;
    if (!state.neighbours.contains(from))
        state.guests.insert(from, now + state.settings.missedHeartbeats * message.next);
    return true;
}

/// Whoever spreads an outdated word missed the newer one.
void correct(MembershipState &state, const VmId &to, MonotonicTime now, MembershipOutput &output)
{
    if (output.corrections.isEmpty())
        return;
    MemberRecord &record = state.others[to];
    HeartbeatMessage message = heartbeatTo(state, record, now);
    message.members.append(output.corrections);
    sendHeartbeat(state, record, std::move(message), output);
}

void takeNews(MembershipState &state, const QList<NewsItem> &news, const VmId &from,
              MonotonicTime now, MembershipOutput &output)
{
    for (const NewsItem &item : news) {
        if (!gossipNews(state.gossip, item, from, now, state.settings.gossipItems)
            || item.origin == state.self.vm)
            continue;
        output.news.append(item);
        output.urgent = true;
    }
}

} // namespace

MembershipState makeMembership(const Member &self, const MembershipSettings &settings,
                               MonotonicTime now)
{
    MembershipState state;
    state.settings = settings;
    state.self = self;
    state.lastTick = now;
    state.lastHeardAnyone = now;
    state.averageBytes = settings.headerBytes + PlainHeartbeatBytes;
    state.allowance = settings.bytesPerSecond * AllowanceSeconds;
    return state;
}

MembershipOutput takeListedMembers(MembershipState &state, const QList<Member> &listed,
                                   MonotonicTime now)
{
    MembershipOutput output;
    for (const Member &member : listed) {
        if (member.vm == state.self.vm)
            continue;
        const auto known = state.others.find(member.vm);
        const bool neverSpoke = known != state.others.end()
            && known->member.incarnation == Incarnation()
            && known->member.state == MemberState::Dead;
        if (neverSpoke)
            state.others.erase(known);
        if (neverSpoke || known == state.others.end())
            takeWord(state, member, VmId(), now, output);
        else
            fillAddress(known->member, member, output);
    }
    // Everyone reads that list: there is no need to pass it on.
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
    const auto passed = now - state.lastTick;
    state.lastTick = now;
    if (passed > state.settings.heartbeat)
        forgivePause(state, passed);
    refill(state, passed);
    expireMembers(state, now, output);
    refreshNeighbours(state, now);
    endRelays(state, VmId(), now, output);
    endProbes(state, now, random, output);
    suspectSilent(state, now, random, output);
    refreshNeighbours(state, now);
    sendDue(state, now, random, output);
    contactDead(state, now, random, output);
    trimGossip(state.gossip, state.neighbours.all(), now, state.settings.gossipLife);
    return output;
}

MembershipOutput onHeartbeat(MembershipState &state, const VmId &from,
                             const HeartbeatMessage &message, int bytes, MonotonicTime now)
{
    MembershipOutput output;
    spend(state, bytes);
    state.lastHeardAnyone = now;
    for (const Member &member : message.members)
        takeWord(state, member, from, now, output);
    const bool present = takeSender(state, from, message, now, output);
    takeNews(state, message.news, from, now, output);
    if (present)
        correct(state, from, now, output);
    if (present && state.self.configurationVersion < message.configurationVersion)
        output.versions.append({from, message.configurationVersion});
    return output;
}

MembershipOutput onProbe(MembershipState &state, const VmId &from, const ProbeMessage &message,
                         MonotonicTime now)
{
    MembershipOutput output;
    state.lastHeardAnyone = now;
    if (message.target == state.self.vm) {
        output.messages.append(
            {from, ProbeAnswerMessage{state.self.vm, true, state.self.incarnation}});
        return output;
    }
    if (!state.others.contains(message.target) || state.relays.size() >= MostRelays)
        return output;
    state.relays.append({from, message.target, now + state.settings.relayTimeout});
    output.messages.append({message.target, ProbeMessage{message.target}});
    return output;
}

MembershipOutput onProbeAnswer(MembershipState &state, const VmId &from,
                               const ProbeAnswerMessage &message, MonotonicTime now)
{
    MembershipOutput output;
    state.lastHeardAnyone = now;
    if (message.reached) {
        state.relays.removeIf([&](const RelayedProbe &relay) {
            if (relay.target != message.target)
                return false;
            output.messages.append({relay.origin, message});
            return true;
        });
    }
    const auto suspicion = state.suspicions.find(message.target);
    if (suspicion == state.suspicions.end())
        return output;
    if (!message.reached) {
        ++suspicion->unreached;
        return output;
    }
    MemberRecord &record = state.others[message.target];
    record.lastHeard = now;
    // Others reach it and this daemon does not: do not ask again with each missed heartbeat.
    if (from != message.target)
        record.grace = std::clamp(2 * record.grace, record.promised, LongestGrace);
    clearSuspicion(state, message.target, now, output);
    return output;
}

MembershipOutput onLinkLost(MembershipState &state, const VmId &vm, MonotonicTime now,
                            quint64 random)
{
    MembershipOutput output;
    if (!state.others.contains(vm))
        return output;
    endRelays(state, vm, now, output);
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

MembershipOutput setOwnVersion(MembershipState &state, ConfigurationVersion version)
{
    MembershipOutput output;
    if (version <= state.self.configurationVersion)
        return output;
    state.self.configurationVersion = version;
    output.tableChanged = true;
    if (state.allowance > 0) {
        for (const VmId &vm : state.neighbours.all())
            state.others[vm].nextBeat = MonotonicTime();
    }
    output.urgent = true;
    return output;
}

MembershipOutput addNews(MembershipState &state, PeerMessageKind kind, const QCborMap &body,
                         qint64 number, MonotonicTime now)
{
    MembershipOutput output;
    const NewsItem item{kind, state.self.vm, number, body};
    gossipNews(state.gossip, item, VmId(), now, state.settings.gossipItems);
    output.urgent = true;
    return output;
}

void noteBytesSent(MembershipState &state, int bytes)
{
    state.allowance -= bytes;
    state.averageBytes += AverageWeight * bytes;
}

bool isIsolated(const MembershipState &state, MonotonicTime now)
{
    return now - state.lastHeardAnyone > state.settings.isolated;
}

} // namespace cranberry
