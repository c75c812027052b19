#include "membership/Membership.h"

#include "base/EventLog.h"
#include "base/TimerService.h"
#include "base/TimerSubscription.h"
#include "membership/MembershipRules.h"
#include "peer/PeerLinks.h"
#include "platformstore/KeyValueStore.h"

#include <QDateTime>
#include <QRandomGenerator>

#include <algorithm>

namespace cranberry {

namespace {

constexpr Milliseconds TickInterval{100};

quint64 randomNumber()
{
    return QRandomGenerator::global()->generate64();
}

/// A random delay between 0.5 and 1.5 times @p delay.
Milliseconds jittered(Milliseconds delay)
{
    return Milliseconds(
        qint64(double(delay.count()) * (0.5 + QRandomGenerator::global()->generateDouble())));
}

Member withIncarnation(Member member)
{
    if (member.incarnation == Incarnation())
        member.incarnation = Incarnation(QDateTime::currentMSecsSinceEpoch());
    return member;
}

Member memberFromListing(const ListedVm &listed)
{
    Member member;
    member.vm = VmId(listed.vm);
    member.dataCentre = DataCentreId(listed.dataCentre);
    member.address = listed.address;
    member.peerPort = listed.peerPort;
    member.state = listed.leaving ? MemberState::Leaving : MemberState::Alive;
    return member;
}

void logMember(const Member &member)
{
    EventId event = EventId::MemberJoined;
    if (member.state == MemberState::Suspect)
        event = EventId::MemberSuspected;
    else if (member.state == MemberState::Leaving)
        event = EventId::MemberLeaving;
    else if (member.state == MemberState::Dead)
        event = EventId::MemberDead;
    logEvent(
        LogLevel::Info, event,
        {{"vm", member.vm.text()}, {"incarnation", QString::number(member.incarnation.value())}});
}

} // namespace

Membership::Membership(TimerService &timers, PeerLinks &links, KeyValueStore &platform, Member self,
                       MembershipSettings settings)
    : m_timers(timers)
    , m_links(links)
    , m_platform(platform)
    , m_state(makeMembershipState(withIncarnation(std::move(self)), settings, timers.now()))
    , m_listRetryBackoff(settings.minListRetryBackoff)
    , m_aliveToken(std::make_shared<bool>(true))
{
    publish();
}

Membership::~Membership()
{
    m_links.onLinkLost({});
    for (const PeerMessageKind kind :
         {PeerMessageKind::Heartbeat, PeerMessageKind::Probe, PeerMessageKind::ProbeAnswer})
        m_links.subscribe(kind, [](const VmId &, const QCborMap &) {});
}

void Membership::start()
{
    subscribe();
    m_tickTimer = m_timers.every(TickInterval, [this] { tick(); });
    listVms();
}

void Membership::subscribe()
{
    m_links.subscribe(PeerMessageKind::Heartbeat, [this](const VmId &from, const QCborMap &body) {
        const std::optional<HeartbeatMessage> message = heartbeatFromCbor(body);
        if (!message)
            return;
        const int bytes = int(body.toCborValue().toCbor().size());
        apply(onHeartbeat(m_state, from, *message, bytes, m_timers.now()));
        if (m_creditsCallback && !message->credits.isEmpty())
            m_creditsCallback(from, message->credits);
    });
    m_links.subscribe(PeerMessageKind::Probe, [this](const VmId &from, const QCborMap &body) {
        if (const std::optional<ProbeMessage> message = probeFromCbor(body))
            apply(onProbe(m_state, from, *message, m_timers.now()));
    });
    m_links.subscribe(PeerMessageKind::ProbeAnswer, [this](const VmId &from, const QCborMap &body) {
        if (const std::optional<ProbeAnswerMessage> message = probeAnswerFromCbor(body))
            apply(onProbeAnswer(m_state, from, *message, m_timers.now()));
    });
    m_links.onLinkLost(
        [this](const VmId &vm) { apply(onLinkLost(m_state, vm, m_timers.now(), randomNumber())); });
}

void Membership::tick()
{
    apply(onTick(m_state, m_timers.now(), randomNumber()));
    const bool isolated = isIsolated(m_state, m_timers.now());
    if (isolated && !m_wasIsolated && !m_isListing)
        scheduleListing(false);
    m_wasIsolated = isolated;
}

void Membership::apply(const MembershipOutput &output)
{
    if (output.urgent && !m_urgentTickTimer) {
        m_urgentTickTimer = m_timers.after(Milliseconds(0), [this] {
            m_urgentTickTimer.reset();
            tick();
        });
    }
    for (const Member &member : output.changes) {
        if (member.vm != m_state.self.vm && member.peerPort != 0)
            m_links.setAddress(member.vm, QHostAddress(member.address), member.peerPort);
    }
    for (const VmId &vm : output.dropped)
        m_links.removeAddress(vm);
    if (output.tableChanged || !output.changes.isEmpty() || !output.dropped.isEmpty())
        publish();
    send(output);
    notifyCallbacks(output);
}

void Membership::send(const MembershipOutput &output)
{
    for (const OutgoingMessage &message : output.messages) {
        if (const auto *probe = std::get_if<ProbeMessage>(&message.content)) {
            m_links.send(message.to, PeerMessageKind::Probe, probeToCbor(*probe));
            continue;
        }
        if (const auto *answer = std::get_if<ProbeAnswerMessage>(&message.content)) {
            m_links.send(message.to, PeerMessageKind::ProbeAnswer, probeAnswerToCbor(*answer));
            continue;
        }
        HeartbeatMessage heartbeat = std::get<HeartbeatMessage>(message.content);
        if (m_creditsProvider) {
            const QCborMap credits = m_creditsProvider(message.to);
            const int bytes = int(credits.toCborValue().toCbor().size());
            if (!credits.isEmpty() && bytes <= m_state.settings.maxCreditBytes) {
                heartbeat.credits = credits;
                recordBytesSent(m_state, bytes);
            }
        }
        m_links.send(message.to, PeerMessageKind::Heartbeat, heartbeatToCbor(heartbeat));
    }
}

void Membership::notifyCallbacks(const MembershipOutput &output)
{
    // Copied, since a callback may register another one.
    const std::vector<ChangeCallback> changeCallbacks = m_changeCallbacks;
    const std::vector<VersionCallback> versionCallbacks = m_versionCallbacks;
    for (const Member &member : output.changes) {
        logMember(member);
        for (const ChangeCallback &callback : changeCallbacks)
            callback(member);
    }
    for (const PeerVersion &peerVersion : output.peerVersions) {
        for (const VersionCallback &callback : versionCallbacks)
            callback(peerVersion.from, peerVersion.version);
    }
    for (const Broadcast &item : output.broadcasts) {
        const BroadcastCallback callback = m_broadcastCallbacks.value(int(item.kind));
        if (callback)
            callback(item.origin, item.body);
    }
}

void Membership::publish()
{
    QList<Member> allMembers;
    allMembers.reserve(m_state.others.size() + 1);
    bool selfAdded = false;
    for (const MemberRecord &record : std::as_const(m_state.others)) {
        if (!selfAdded && m_state.self.vm < record.member.vm) {
            allMembers.append(m_state.self);
            selfAdded = true;
        }
        allMembers.append(record.member);
    }
    if (!selfAdded)
        allMembers.append(m_state.self);
    QList<Member> live = allMembers;
    live.removeIf([](const Member &member) {
        return member.state == MemberState::Leaving || member.state == MemberState::Dead;
    });
    const QMutexLocker lock(&m_publishedMutex);
    m_publishedMembers = std::move(allMembers);
    m_publishedLiveMembers = std::move(live);
}

VmId Membership::self() const
{
    return m_state.self.vm;
}

QList<Member> Membership::members() const
{
    const QMutexLocker lock(&m_publishedMutex);
    return m_publishedMembers;
}

QList<Member> Membership::liveMembers() const
{
    const QMutexLocker lock(&m_publishedMutex);
    return m_publishedLiveMembers;
}

void Membership::setLeaving()
{
    apply(leave(m_state, m_timers.now()));
}

void Membership::setConfigurationVersion(ConfigurationVersion version)
{
    apply(setOwnConfigurationVersion(m_state, version));
}

void Membership::onChange(ChangeCallback callback)
{
    m_changeCallbacks.push_back(std::move(callback));
}

void Membership::onNewerVersion(VersionCallback callback)
{
    m_versionCallbacks.push_back(std::move(callback));
}

bool Membership::broadcast(PeerMessageKind kind, const QCborMap &body)
{
    if (body.toCborValue().toCbor().size() > m_state.settings.maxBroadcastBytes)
        return false;
    const auto number = qint64((randomNumber() >> 1) | 1);
    apply(addBroadcast(m_state, kind, body, number, m_timers.now()));
    return true;
}

void Membership::onBroadcast(PeerMessageKind kind, BroadcastCallback callback)
{
    m_broadcastCallbacks[int(kind)] = std::move(callback);
}

void Membership::setCreditsProvider(CreditsProvider provider)
{
    m_creditsProvider = std::move(provider);
}

void Membership::onCredits(CreditsCallback callback)
{
    m_creditsCallback = std::move(callback);
}

void Membership::listVms()
{
    m_listTimer.reset();
    m_isListing = true;
    m_platform.listVms(
        [this, aliveToken = std::weak_ptr<bool>(m_aliveToken)](const Result<QList<ListedVm>> &vms) {
            if (aliveToken.expired())
                return;
            m_isListing = false;
            if (vms)
                applyListedVms(vms.value());
            scheduleListing(vms.has_value());
        });
}

void Membership::applyListedVms(const QList<ListedVm> &vms)
{
    QList<Member> listed;
    for (const ListedVm &vm : vms)
        listed.append(memberFromListing(vm));
    apply(applyListedMembers(m_state, listed, m_timers.now()));
}

void Membership::scheduleListing(bool succeeded)
{
    const MembershipSettings &settings = m_state.settings;
    const bool alone = m_state.others.isEmpty() || isIsolated(m_state, m_timers.now());
    Milliseconds delay{0};
    if (succeeded && !alone) {
        // Proportional to the number of daemons, so that the call rate of the fleet is constant.
        delay = settings.fleetListInterval * (m_state.others.size() + 1);
        m_listRetryBackoff = settings.minListRetryBackoff;
    } else {
        delay = m_listRetryBackoff;
        m_listRetryBackoff = std::min(2 * m_listRetryBackoff, settings.maxListRetryBackoff);
    }
    m_listTimer = m_timers.after(jittered(delay), [this] { listVms(); });
}

} // namespace cranberry
