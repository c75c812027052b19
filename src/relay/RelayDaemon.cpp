#include "relay/RelayDaemon.h"

#include "base/EventLog.h"
#include "base/TimerSubscription.h"
#include "http/CallerReply.h"
#include "relay/ColdPace.h"
#include "relay/RelayMetrics.h"
#include "relay/RelayParts.h"

namespace cranberry {

namespace {

/// The balancer asks each second and takes a daemon out after two misses.
constexpr Milliseconds BalancerLeaves{3000};
constexpr Milliseconds DrainCheck{50};
/// An engine that leaves says so about 1.5 s ahead, and copying its streams takes most of that.
constexpr Milliseconds AskInterval{200};
constexpr Milliseconds NewerVersionPatience{200};
/// Of a target's heartbeats: three that are missed end its entry, and the store may have been gone
/// just before the first one.
constexpr int HeartbeatsToLapse = 2;
/// Where few engines serve, the least difference of load counts: an engine with more generations
/// than others can't send them all away in time when it leaves. With many engines one of the own
/// data centre is about as free as any, and spares bytes between data centres.
constexpr double FewDaemonsPenalty = 0.03;
constexpr double NearPenalty = 0.15;
constexpr double FarPenalty = 0.15;
/// Engines of other data centres looked at for one request in a very large fleet: one with room is
/// among them as long as a third of all have any, and of 150 daemons few draw the same one.
constexpr int MostAway = 4;
/// In a very large fleet a data centre tells of its emptiest engines; any other is likely full.
constexpr double UnknownPenalty = 1;
/// Fleets up to this size have few engines: about 1.5 for a daemon.
constexpr int FewDaemons = 40;
/// Taken for the size of the fleet by a daemon that has not been told it: as large as fleets are.
constexpr int UnlistedFleet = 770;
constexpr int StatusOk = 200;
constexpr int StatusNotFound = 404;
constexpr int StatusUnavailable = 503;

DistanceCosts distanceCosts(const RelayParts &parts)
{
    if (parts.peers.fleetSize() <= FewDaemons)
        return {FewDaemonsPenalty, 0, 0};
    return parts.peers.isSmallFleet() ? DistanceCosts{NearPenalty, 0, 0}
                                      : DistanceCosts{FarPenalty, UnknownPenalty, MostAway};
}

qint64 configurationVersion(const RelayParts &parts)
{
    const auto &configuration = parts.gateway.configuration();
    return configuration ? configuration->version.value() : 0;
}

bool hasEngine(const RelayParts &parts, const ServiceId &service)
{
    const auto &configuration = parts.gateway.configuration();
    return configuration && configuration->services.value(service).engine.has_value();
}

Milliseconds coldPaceOf(const RelayParts &parts, const ServiceId &service)
{
    const auto &configuration = parts.gateway.configuration();
    const double perSecond =
        configuration ? configuration->services.value(service).coldPerSecond : 0;
    return coldPace(perSecond, parts.peers.hasListed() ? parts.peers.fleetSize() : UnlistedFleet);
}

HttpResponse rejection(const CallerProtocol &callers, ErrorKind kind)
{
    Error error;
    error.kind = kind;
    error.detail = QStringLiteral("the request could not be read");
    return callers.failure(error, std::nullopt);
}

} // namespace

RelayParts::RelayParts(const RelaySettings &given, const RelayProtocols &spoken)
    : settings(given)
    , protocols(spoken)
    , client(timers)
    , targets(timers)
    , reports(timers, client, targets, protocols.targets, counters)
    , waiting(timers)
    , retries(given.retries)
    , peers(timers, client, given.store, protocols.store, counters,
            {given.vm, given.dataCentre, given.peer, {}, {}, {}, 0, false})
    , datagrams(peers)
    , heads(timers, peers, datagrams)
    , loads(timers, peers, heads, datagrams, targets, retries)
    , news(timers, peers, heads, datagrams, targets, [this] { return entries.hasSource(); })
    , crashes(timers, peers, datagrams)
    , context{timers,
              client,
              targets,
              news,
              reports,
              waiting,
              retries,
              outputs,
              rooms,
              crashes,
              counters,
              protocols.callers,
              protocols.targets,
              given.dataCentre,
              [this] { return peers.fleetSize() > 1; },
              [this] { return distanceCosts(*this); },
              [this] { return entries.hasSource(); }}
    , configuration(timers, client, given.store, protocols.store, counters,
                    protocols.store.operatorPrefix)
    , entries(timers, client, given.store, protocols.store, counters, protocols.store.targetPrefix)
    , targetEntries(protocols.store, targets, counters)
    , peerState(timers, client, peers, configuration, entries, counters,
                {[this] { return feed.configurationStaleness(); },
                 [this] { return feed.targetsStaleness(); }})
    , feed({timers, peers, heads, datagrams, peerState, entries, configuration}, given.isFirstStart,
           given.staleness, [this] { return configurationVersion(*this); })
    , gateway(context, [this] { return isWithinBound(feed.configurationStaleness()); })
    , callers(
          timers,
          [this](const HttpRequest &request, const std::shared_ptr<CallerReply> &reply) {
              gateway.handle(request, reply);
          },
          [this](ErrorKind kind) { return rejection(protocols.callers, kind); })
    , readiness(timers, {}, [this](ErrorKind kind) { return rejection(protocols.callers, kind); })
    , peerListener(
          timers,
          [this](const HttpRequest &request, const std::shared_ptr<CallerReply> &reply) {
              peerState.handle(request, reply);
          },
          [this](ErrorKind kind) { return rejection(protocols.callers, kind); })
{
}

RelayDaemon::RelayDaemon(const RelaySettings &settings, const RelayProtocols &protocols)
    : m_parts(std::make_unique<RelayParts>(settings, protocols))
{
    RelayParts &parts = *m_parts;
    for (StoreMirror *mirror : {&parts.entries, &parts.configuration})
        mirror->setLongestBackoff([this] { return m_parts->feed.longestBackoff(); });
    // The operator's keys have no leases: what is removed stays removed.
    parts.configuration.setKeysLapse(false);
    parts.entries.setLapseAfter(HeartbeatsToLapse * settings.targetHeartbeat);
    parts.configuration.setCallbacks(
        {[this](const StoreItem &item) { operatorWrote(item.key, item.value); },
         [this](const QString &key) { setEvacuated(key, false); }});
    parts.entries.setCallbacks(
        {[this](const StoreItem &item) { m_parts->targetEntries.put(item.key, item.value); },
         [this](const QString &key) { m_parts->targetEntries.removed(key); }});
    parts.readiness.setHandler(
        [this](const HttpRequest &request, const std::shared_ptr<CallerReply> &reply) {
            readiness(request, reply);
        });
    parts.datagrams.compareVersions(
        [this] { return configurationVersion(*m_parts); },
        [this](const Peer &from, qint64 version) { newerVersionHeard(from, version); });
    parts.targets.onLeaving(
        [this](const TargetId &target) { m_parts->gateway.targetLeaving(target); });
    parts.targets.onLeavingFirstHand(
        [this](const TargetId &target) { m_parts->news.leaving(target); });
    parts.targets.onLost([this](const TargetId &target) { m_parts->gateway.targetLost(target); });
    parts.peers.onJoinedNearby([this](const QList<Peer> &joined) {
        // They learn of this daemon at once, and not with their next list.
        m_parts->loads.sendHello(joined);
    });
    parts.loads.setHasEngine(
        [this](const ServiceId &service) { return hasEngine(*m_parts, service); });
    parts.targets.onOwnLoad(
        [this](const TargetId &target, bool isMore) { m_parts->loads.changed(target, isMore); });
    parts.targets.setColdPace(
        [this](const ServiceId &service) { return coldPaceOf(*m_parts, service); });
    parts.targets.onCrashed(
        [this](const TargetId &target) { m_parts->crashes.targetGone(target); });
    parts.targets.onRoom([this] { m_parts->waiting.roomChanged(); });
}

RelayDaemon::~RelayDaemon() = default;

Result<void> RelayDaemon::start()
{
    BOOST_OUTCOME_TRY(callers, m_parts->callers.listenOn(m_parts->settings.callers));
    BOOST_OUTCOME_TRY(readiness, m_parts->readiness.listenOn(m_parts->settings.readiness));
    BOOST_OUTCOME_TRY(peer, m_parts->peerListener.listenOn(m_parts->settings.peer));
    m_parts->peers.setPort(peer);
    if (!m_parts->datagrams.listenOn(m_parts->peers.self().endpoint))
        logEvent(LogLevel::Error, EventId::PeerFrameInvalid,
                 {{"detail", QStringLiteral("cannot take datagrams")}});
    m_parts->peers.start(m_parts->settings.isFirstStart);
    m_parts->configuration.start();
    m_parts->entries.start();
    m_askTimer = m_parts->timers.every(AskInterval, [this] { lookAtEngines(); });
    logEvent(LogLevel::Info, EventId::DaemonStarted,
             {{"vm", m_parts->settings.vm.text()},
              {"data_centre", m_parts->settings.dataCentre.text()},
              {"callers", QString::number(callers)},
              {"readiness", QString::number(readiness)},
              {"peer", QString::number(peer)}});
    return outcome::success();
}

void RelayDaemon::newerVersionHeard(const Peer &from, qint64 version)
{
    // The feed or the own watch brings it within some ms, unless nothing is heard any more.
    m_heardVersion = std::max(m_heardVersion, version);
    if (m_readAgainTimer)
        return;
    m_readAgainTimer = m_parts->timers.after(NewerVersionPatience, [this, from] {
        m_readAgainTimer.reset();
        if (configurationVersion(*m_parts) >= m_heardVersion)
            return;
        if (m_parts->configuration.isWatching())
            m_parts->configuration.readAgain();
        else
            m_parts->peerState.askSoon(from);
    });
}

void RelayDaemon::recordTimerLateness()
{
    const MonotonicTime now = m_parts->timers.now();
    const MonotonicTime due = std::exchange(m_nextCheckDue, now + AskInterval);
    if (due != MonotonicTime())
        m_parts->counters.timerLateness.add(
            std::chrono::duration<double, std::milli>(std::max(now, due) - due).count());
}

void RelayDaemon::lookAtEngines()
{
    recordTimerLateness();
    m_parts->gateway.checkSilence();
    askEnginesInUse();
    if (isReady() && !std::exchange(m_wasReady, true))
        logEvent(LogLevel::Info, EventId::DaemonReady, {{"vm", m_parts->settings.vm.text()}});
}

void RelayDaemon::askEnginesInUse()
{
    // The store tells which engines leave. While it is away they tell it themselves, or their
    // streams would end with them.
    const bool isCurrent = m_parts->entries.hasSource();
    // The long watch of the configuration would notice much later.
    const bool isFed = m_parts->configuration.isFed();
    if (!isCurrent && std::exchange(m_hadEntries, false) && !isFed)
        m_parts->configuration.readAgain();
    m_hadEntries = isCurrent;
    if (isCurrent)
        return;
    m_parts->reports.refresh(m_parts->gateway.enginesWithStreams(), AskInterval / 2, [] {});
}

bool RelayDaemon::isReady() const
{
    return m_parts->gateway.configuration() && m_parts->entries.hasSome() && !m_drained;
}

void RelayDaemon::readiness(const HttpRequest &request, const std::shared_ptr<CallerReply> &reply)
{
    if (request.path == m_parts->protocols.readinessPath)
        reply->send({isReady() ? StatusOk : StatusUnavailable, {}, {}});
    else if (request.path == "/metrics")
        reply->send({StatusOk,
                     {{"Content-Type", "text/plain; charset=utf-8"}},
                     relayMetricsText(*m_parts)});
    else
        reply->send({StatusNotFound, {}, {}});
}

void RelayDaemon::operatorWrote(const QString &key, const QByteArray &value)
{
    if (key == m_parts->protocols.store.configurationKey)
        configurationRead(value);
    else
        setEvacuated(key, true);
}

void RelayDaemon::setEvacuated(const QString &key, bool isEvacuated)
{
    const auto dataCentre = m_parts->protocols.store.evacuatedDataCentre(key);
    if (!dataCentre)
        return;
    logEvent(LogLevel::Info, isEvacuated ? EventId::EvacuationInForce : EventId::EvacuationEnded,
             {{"data_centre", dataCentre->text()},
              {"revision", QString::number(m_parts->configuration.newest().value())}});
    m_parts->targets.setEvacuated(*dataCentre, isEvacuated);
}

void RelayDaemon::configurationRead(const QByteArray &value)
{
    const Result<RelayConfiguration> read = m_parts->protocols.store.readConfiguration(value);
    if (!read) {
        logEvent(LogLevel::Error, EventId::ConfigurationUnreadable,
                 {{"detail", read.error().detail}});
        return;
    }
    m_parts->gateway.setConfiguration(read.value(), m_parts->configuration.changedBy(),
                                      m_parts->configuration.age(), value.size());
    m_parts->callers.setLimits(read.value().limits);
}

void RelayDaemon::drain(std::function<void()> done)
{
    if (m_drained)
        return;
    m_drained = std::move(done);
    m_drainBegan = m_parts->timers.now();
    logEvent(LogLevel::Info, EventId::DaemonDraining,
             {{"vm", m_parts->settings.vm.text()},
              {"running", QString::number(m_parts->gateway.running())}});
    m_parts->gateway.drainUntil(m_drainBegan + m_parts->settings.grace);
    m_parts->callers.closeAfterResponses();
    m_parts->feed.drain();
    m_drainTimer = m_parts->timers.every(DrainCheck, [this] { finishDrainWhenIdle(); });
}

void RelayDaemon::finishDrainWhenIdle()
{
    // Until the balancer has left, new connections still come and must not be turned away.
    if (m_parts->timers.now() - m_drainBegan < BalancerLeaves)
        return;
    m_parts->callers.closeIdle();
    const bool busy = m_parts->gateway.running() > 0 || m_parts->callers.busyConnections() > 0;
    if (busy)
        return;
    m_drainTimer.reset();
    m_parts->peers.leave();
    logEvent(LogLevel::Info, EventId::DaemonStopped, {{"vm", m_parts->settings.vm.text()}});
    m_drained();
}

} // namespace cranberry
