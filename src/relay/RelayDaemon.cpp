#include "relay/RelayDaemon.h"

#include "base/EventLog.h"
#include "base/TimerSubscription.h"
#include "http/CallerReply.h"
#include "relay/ColdPace.h"
#include "relay/ForwardMessage.h"
#include "relay/RelayMetrics.h"
#include "relay/RelayParts.h"
#include "relay/SettingsReading.h"

#include <QCborArray>
#include <QRandomGenerator>

namespace cranberry {

namespace {

/// The balancer probes every second and removes a daemon after two failed probes.
constexpr Milliseconds BalancerRemovalDelay{3000};
constexpr Milliseconds DrainCheckInterval{50};
constexpr Milliseconds ShutdownProgressInterval{1000};
/// An engine announces that it leaves about 1.5 s in advance, and copying its streams takes most of
/// that time.
constexpr Milliseconds EngineCheckInterval{200};
constexpr Milliseconds NewerVersionTimeout{200};
constexpr Milliseconds ForgetInterval{30000};
/// Store outages shorter than this many target heartbeats lose no entry. An entry expires after
/// three missed heartbeats, and the outage may have started just before the first one.
constexpr int HeartbeatsToLapse = 2;
/// Load penalties of targets in other data centres. With few engines, small differences of load
/// matter: an engine with more generations than others cannot move them all in time when it leaves.
/// With many engines, one in the same data centre is usually as free as any other and avoids
/// traffic between data centres.
constexpr double FewDaemonsRemotePenalty = 0.03;
constexpr double SmallFleetRemotePenalty = 0.15;
constexpr double LargeFleetRemotePenalty = 0.15;
/// Number of engines in other data centres considered for one request in a very large fleet. If at
/// least a third of all engines have room, one of these usually has; with 150 daemons, few choose
/// the same one.
constexpr int MaxRemoteCandidates = 4;
/// In a very large fleet, a data centre reports only its least loaded engines; others are probably
/// full.
constexpr double UnreportedPenalty = 1;
/// Fleets up to this size have few engines: about 1.5 per daemon.
constexpr int FewDaemonsLimit = 40;
/// Fleet size assumed by a daemon that does not know it yet: the maximum size of a fleet.
constexpr int AssumedFleetSize = 770;
/// Size of a forwarded request beyond that of the caller's.
constexpr Bytes ForwardOverhead{64 * 1024};
constexpr int CallerDescriptorFraction = 3;
constexpr int PeerDescriptorFraction = 4;
constexpr int MaxReadinessConnections = 32;
constexpr Milliseconds RetryAfterFull{1000};
constexpr int StatusOk = 200;
constexpr int StatusNotFound = 404;
constexpr int StatusUnavailable = 503;

DistanceCosts distanceCosts(const RelayParts &parts)
{
    if (parts.peers.fleetSize() <= FewDaemonsLimit)
        return {FewDaemonsRemotePenalty, 0, 0};
    return parts.peers.isSmallFleet()
        ? DistanceCosts{SmallFleetRemotePenalty, 0, 0}
        : DistanceCosts{LargeFleetRemotePenalty, UnreportedPenalty, MaxRemoteCandidates};
}

/// Forwarded requests contain those of callers.
CallerLimits peerLimits(const CallerLimits &callers)
{
    const CallerLimits defaults;
    CallerLimits limits = defaults;
    limits.body = std::max(defaults.body, callers.body + callers.headers + ForwardOverhead);
    return limits;
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

bool isConfigured(const RelayParts &parts, const ServiceId &service)
{
    const auto &configuration = parts.gateway.configuration();
    return configuration && configuration->services.contains(service);
}

/// A daemon that starts again may have used its share before. No daemon has when the whole fleet
/// starts for the first time.
MonotonicTime retryShareFrom(const RelaySettings &settings, MonotonicTime now)
{
    return settings.isFirstStart ? now : now + shareRenewal(settings.retries);
}

/// The place among all daemons, including those that are silent and may be cut off.
FleetPosition fleetPosition(const RelayParts &parts)
{
    if (!parts.peers.hasListed())
        return {AssumedFleetSize - 1, AssumedFleetSize};
    return {parts.peers.knownRank(), parts.peers.knownDaemons()};
}

Milliseconds coldPaceOf(const RelayParts &parts, const ServiceId &service)
{
    const auto &configuration = parts.gateway.configuration();
    const double perSecond =
        configuration ? configuration->services.value(service).coldPerSecond : 0;
    return coldPace(perSecond, fleetPosition(parts).daemons);
}

/// A request that a target of @p service answers without running anything.
HttpRequest probeRequest(const RelayParts &parts, const ServiceId &service)
{
    const auto &configuration = parts.gateway.configuration();
    const RelayService known =
        configuration ? configuration->services.value(service) : RelayService();
    // A health check waits for a slot of an engine, a report does not.
    if (known.engine || known.healthPath.isEmpty())
        return parts.protocols.targets.report();
    HttpRequest request;
    request.method = "GET";
    request.path = known.healthPath;
    return request;
}

HttpResponse rejection(const CallerProtocol &callers, ErrorKind kind)
{
    const bool isFull = kind == ErrorKind::QueueFull;
    Error error;
    error.kind = kind;
    error.detail = isFull ? QStringLiteral("this daemon has no room left for requests")
                          : QStringLiteral("the request could not be parsed");
    return callers.failure(error, isFull ? std::optional(RetryAfterFull) : std::nullopt);
}

void limitCallers(RelayParts &parts)
{
    parts.callerMemory.setCapacity(callerMemoryCapacity(parts.settings.memory));
    parts.client.setMemory(parts.callerMemory);
    for (HttpListener *listener : {&parts.callers, &parts.readiness, &parts.peerListener})
        listener->setMemory(parts.callerMemory);
    for (HttpListener *listener : {&parts.callers, &parts.peerListener})
        listener->setTimeouts(parts.settings.requestTimeout, parts.settings.responseTimeout);
    parts.callers.setMaxConnections(parts.settings.descriptors / CallerDescriptorFraction);
    parts.peerListener.setMaxConnections(parts.settings.descriptors / PeerDescriptorFraction);
    parts.readiness.setMaxConnections(MaxReadinessConnections);
}

} // namespace

RelayParts::RelayParts(const RelaySettings &startSettings, const RelayProtocols &platformProtocols)
    : settings(startSettings)
    , protocols(platformProtocols)
    , client(timers)
    , targets(timers)
    , availability(timers,
                   [this](const TargetId &target) {
                       const TargetRecord *record = targets.find(target);
                       return record ? record->ownRunning : 0;
                   })
    , targetClient(client, protocols.targets, availability)
    , limits(timers)
    , brittle(timers, targets, [this] { return fleetPosition(*this); })
    , reach(timers, targetClient, targets,
            [this](const ServiceId &service) { return probeRequest(*this, service); })
    , reports(timers, targetClient, targets, protocols.targets, counters)
    , pressure(timers)
    , speeds(timers, targets)
    , retryBudget(
          startSettings.retries, retryShareFrom(startSettings, timers.now()),
          [this] { return fleetPosition(*this); },
          [] { return QRandomGenerator::global()->generateDouble(); })
    , peers(timers, client, startSettings.store, protocols.store, counters,
            {startSettings.vm, startSettings.dataCentre, startSettings.peer, {}, {}, {}, 0, false})
    , datagrams(peers)
    , forwarding(peers)
    , admission(timers, peers, datagrams, startSettings.admission)
    , waiting(timers, admission)
    , heads(timers, peers, datagrams)
    , loads(timers, peers, heads, datagrams, targets, speeds)
    , limitExchange(timers, peers, heads, datagrams, limits,
                    [this](const TargetId &target) { return targets.find(target) != nullptr; })
    , retryExchange(timers, peers, datagrams, retryBudget,
                    [this](const ServiceId &service) { return isConfigured(*this, service); })
    , news(timers, peers, heads, datagrams, targets, [this] { return entries.hasSource(); })
    , crashGuard(
          timers, targetClient, peers, datagrams, targets,
          [this](const ServiceId &service, const TargetId &target) {
              HttpRequest probe = probeRequest(*this, service);
              protocols.targets.expect(probe, target);
              return probe;
          },
          protocols.targets.isOther)
    , stops(timers, targetClient, protocols.targets, targets)
    , context{timers,
              client,
              targetClient,
              targets,
              availability,
              limits,
              brittle,
              reach,
              forwarding,
              news,
              reports,
              admission,
              pressure,
              speeds,
              durations,
              waiting,
              retryBudget,
              outputForecast,
              roomForecast,
              crashGuard,
              stops,
              counters,
              callerMemory,
              shutdown,
              protocols.callers,
              protocols.targets,
              startSettings.maxAnswer,
              startSettings.vm,
              startSettings.dataCentre,
              [this] { return peers.fleetSize() > 1; },
              [this] { return distanceCosts(*this); },
              [this] { return entries.hasSource(); }}
    , configuration(timers, client, startSettings.store, protocols.store, counters,
                    protocols.store.operatorPrefix)
    , entries(timers, client, startSettings.store, protocols.store, counters,
              protocols.store.targetPrefix)
    , targetEntries(protocols.store, targets, counters)
    , peerState(timers, client, peers, configuration, entries, counters,
                {[this] { return feed.configurationStaleness(); },
                 [this] { return feed.targetsStaleness(); }})
    , feed({timers, peers, heads, datagrams, peerState, entries, configuration},
           startSettings.isFirstStart, startSettings.staleness,
           [this] { return configurationVersion(*this); })
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
              if (request.path == ForwardPath)
                  gateway.handleForwarded(request, reply);
              else
                  peerState.handle(request, reply);
          },
          [this](ErrorKind kind) { return rejection(protocols.callers, kind); })
{
}

RelayDaemon::RelayDaemon(const RelaySettings &settings, const RelayProtocols &protocols)
    : m_parts(std::make_unique<RelayParts>(settings, protocols))
{
    RelayParts &parts = *m_parts;
    limitCallers(parts);
    if (settings.isFirstStart)
        parts.crashGuard.setFirstStart();
    for (StoreMirror *mirror : {&parts.entries, &parts.configuration})
        mirror->setMaxBackoff([this] { return m_parts->feed.maxBackoff(); });
    // The operator's keys have no leases, so that a missing key has been removed.
    parts.configuration.setKeysExpire(false);
    parts.entries.setMinExpiryOutage(HeartbeatsToLapse * settings.targetHeartbeat);
    parts.configuration.setCallbacks(
        {[this](const StoreItem &item) { operatorKeyWritten(item.key, item.value); },
         [this](const QString &key) { setEvacuated(key, false); }});
    parts.entries.setCallbacks(
        {[this](const StoreItem &item) { m_parts->targetEntries.put(item.key, item.value); },
         [this](const QString &key) { m_parts->targetEntries.remove(key); }});
    parts.readiness.setHandler(
        [this](const HttpRequest &request, const std::shared_ptr<CallerReply> &reply) {
            handleReadiness(request, reply);
        });
    parts.datagrams.setVersionCallbacks(
        [this] { return configurationVersion(*m_parts); },
        [this](const Peer &from, qint64 version) { newerVersionAnnounced(from, version); });
    parts.datagrams.setUnreachableCallbacks([this] { return m_parts->reach.unreachable(); },
                                            [this](const Peer &from) {
                                                for (const ServiceId &service : from.unreachable)
                                                    m_parts->reach.verify(service);
                                            });
    parts.reach.onChanged([this] {
        // Other daemons must know before they forward requests to this one.
        m_parts->loads.sendHello(m_parts->peers.directReceivers());
        m_parts->waiting.roomChanged();
    });
    parts.targets.onLeaving(
        [this](const TargetId &target) { m_parts->gateway.targetLeaving(target); });
    parts.targets.onLeavingDirect(
        [this](const TargetId &target) { m_parts->news.announceLeaving(target); });
    parts.targets.onLost([this](const TargetId &target) {
        m_parts->crashGuard.attempts().lost(target);
        m_parts->gateway.targetLost(target);
    });
    parts.peers.onLocalPeersJoined([this](const QList<Peer> &joined) {
        // New peers learn of this daemon immediately instead of with their next listing.
        m_parts->loads.sendHello(joined);
        m_parts->limitExchange.queryOnce(joined);
    });
    parts.loads.setHasEngine(
        [this](const ServiceId &service) { return hasEngine(*m_parts, service); });
    connectAdmission();
    parts.targets.onOwnLoad([this](const TargetId &target, bool isIncrease) {
        m_parts->loads.handleLoadChange(target, isIncrease);
    });
    parts.targets.setColdPace(
        [this](const ServiceId &service) { return coldPaceOf(*m_parts, service); });
    parts.targets.onCrashed(
        [this](const TargetId &target) { m_parts->crashGuard.attempts().disappeared(target); });
    parts.targets.onCapacityFreed([this] { m_parts->waiting.roomChanged(); });
    parts.limits.onChanged([this] { m_parts->waiting.roomChanged(); });
    connectAvailability();
}

void RelayDaemon::connectAdmission()
{
    RelayParts &parts = *m_parts;
    parts.loads.setIsContended([this](const ServiceId &service) {
        return m_parts->settings.admission.order
            && (m_parts->pressure.isPressed(service) || m_parts->admission.isBusy(service));
    });
    parts.pressure.onPressed([this](const ServiceId &service) {
        if (m_parts->settings.admission.order && !hasEngine(*m_parts, service))
            m_parts->loads.sendLoadsOf(service);
    });
    parts.admission.setIsKnown(
        [this](const ServiceId &service) { return isConfigured(*m_parts, service); });
    parts.admission.onDemand([this](const ServiceId &service) {
        if (!hasEngine(*m_parts, service))
            m_parts->pressure.recordDemand(service);
    });
    if (m_parts->settings.admission.order)
        parts.loads.setRates([this] { return m_parts->admission.rates(); },
                             [this](const VmId &peer, const QCborArray &rows) {
                                 m_parts->admission.receiveRates(peer, rows);
                             });
    parts.admission.onChanged([this] { m_parts->waiting.roomChanged(); });
}

void RelayDaemon::connectAvailability()
{
    RelayParts &parts = *m_parts;
    parts.availability.onChanged([this] { m_parts->waiting.roomChanged(); });
    parts.availability.onLeaving(
        [this](const TargetId &target) { m_parts->targets.markLeaving(target, "answer"); });
    parts.targets.setHasSaidLeaving(
        [this](const TargetId &target) { return m_parts->availability.hasSaidLeaving(target); });
    m_forgetTimer = parts.timers.every(ForgetInterval, [this] {
        m_parts->availability.forgetGone(
            [this](const TargetId &target) { return m_parts->targets.find(target) != nullptr; });
    });
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
                 {{"detail", QStringLiteral("cannot listen for datagrams")}});
    m_parts->peers.start(m_parts->settings.isFirstStart);
    m_parts->configuration.start();
    m_parts->entries.start();
    m_engineCheckTimer = m_parts->timers.every(EngineCheckInterval, [this] { checkEngines(); });
    logEvent(LogLevel::Info, EventId::DaemonStarted,
             {{"vm", m_parts->settings.vm.text()},
              {"data_centre", m_parts->settings.dataCentre.text()},
              {"caller_memory", QString::number(m_parts->callerMemory.capacity().value())},
              {"descriptors", QString::number(m_parts->settings.descriptors)},
              {"callers", QString::number(callers)},
              {"readiness", QString::number(readiness)},
              {"peer", QString::number(peer)}});
    return outcome::success();
}

void RelayDaemon::newerVersionAnnounced(const Peer &from, qint64 version)
{
    // The feed or the watch of this daemon normally delivers the new version within a few ms.
    m_announcedVersion = std::max(m_announcedVersion, version);
    if (m_rereadTimer)
        return;
    m_rereadTimer = m_parts->timers.after(NewerVersionTimeout, [this, from] {
        m_rereadTimer.reset();
        if (configurationVersion(*m_parts) >= m_announcedVersion)
            return;
        if (m_parts->configuration.isWatching())
            m_parts->configuration.readAgain();
        else
            m_parts->peerState.scheduleFetch(from);
    });
}

void RelayDaemon::recordTimerLateness()
{
    const MonotonicTime now = m_parts->timers.now();
    const MonotonicTime due = std::exchange(m_nextEngineCheck, now + EngineCheckInterval);
    if (due != MonotonicTime())
        m_parts->counters.timerLateness.add(
            std::chrono::duration<double, std::milli>(std::max(now, due) - due).count());
}

void RelayDaemon::checkEngines()
{
    recordTimerLateness();
    m_parts->gateway.checkSilence();
    pollEnginesInUse();
    logReclaims();
    if (isReady() && !std::exchange(m_wasReady, true))
        logEvent(LogLevel::Info, EventId::DaemonReady, {{"vm", m_parts->settings.vm.text()}});
}

void RelayDaemon::logReclaims()
{
    const CallerMemory &memory = m_parts->callerMemory;
    const ReclaimCounts counts{memory.reclaimed(), m_parts->callers.replacedConnections(),
                               m_parts->peerListener.replacedConnections()};
    if (counts == m_loggedReclaims)
        return;
    logEvent(LogLevel::Info, EventId::ConnectionsReclaimed,
             {{"for_memory", QString::number(counts.forMemory - m_loggedReclaims.forMemory)},
              {"for_callers", QString::number(counts.forCallers - m_loggedReclaims.forCallers)},
              {"for_peers", QString::number(counts.forPeers - m_loggedReclaims.forPeers)},
              {"held_bytes", QString::number(memory.held().value())},
              {"capacity_bytes", QString::number(memory.capacity().value())},
              {"connections", QString::number(m_parts->callers.openConnections())}});
    m_loggedReclaims = counts;
}

void RelayDaemon::pollEnginesInUse()
{
    // Normally the store reports which engines leave. While it is unavailable, the engines are
    // polled; otherwise their streams would be lost when they leave.
    const bool isCurrent = m_parts->entries.hasSource();
    // The long poll of the configuration would detect the outage much later.
    const bool isFed = m_parts->configuration.isFed();
    if (!isCurrent && std::exchange(m_hadEntrySource, false) && !isFed)
        m_parts->configuration.readAgain();
    m_hadEntrySource = isCurrent;
    if (isCurrent)
        return;
    m_parts->reports.refresh(m_parts->gateway.enginesWithStreams(), EngineCheckInterval / 2, [] {});
}

bool RelayDaemon::isReady() const
{
    return m_parts->gateway.configuration() && m_parts->entries.hasAnyContents() && !m_onDrained;
}

void RelayDaemon::handleReadiness(const HttpRequest &request,
                                  const std::shared_ptr<CallerReply> &reply)
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

void RelayDaemon::operatorKeyWritten(const QString &key, const QByteArray &value)
{
    if (key == m_parts->protocols.store.configurationKey)
        applyConfiguration(value);
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
              {"revision", QString::number(m_parts->configuration.newestRevision().value())}});
    m_parts->targets.setEvacuated(*dataCentre, isEvacuated);
}

void RelayDaemon::applyConfiguration(const QByteArray &value)
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
    m_parts->peerListener.setLimits(peerLimits(read.value().limits));
}

void RelayDaemon::settingsRead(const SettingsReading &read)
{
    m_parts->counters.settingsFaults = read.faults.size();
    m_parts->counters.isSettingsFileUsable = !read.fatalFault();
    if (!read.fatalFault() && !m_onDrained)
        m_parts->settings.grace = read.settings.grace;
}

void RelayDaemon::drain(std::function<void()> done)
{
    if (m_onDrained)
        return;
    m_onDrained = std::move(done);
    m_parts->shutdown = planShutdown(m_parts->timers.now(), m_parts->settings.grace);
    logEvent(LogLevel::Info, EventId::DaemonDraining,
             {{"vm", m_parts->settings.vm.text()},
              {"grace_ms", QString::number(m_parts->settings.grace.count())},
              {"running", QString::number(m_parts->gateway.running())}});
    m_parts->gateway.shutdownBegan();
    m_parts->callers.closeAfterResponses();
    m_parts->feed.drain();
    m_drainTimer = m_parts->timers.every(DrainCheckInterval, [this] { checkDrain(); });
    m_progressTimer =
        m_parts->timers.every(ShutdownProgressInterval, [this] { logShutdownProgress(); });
}

void RelayDaemon::logShutdownProgress()
{
    const auto since =
        std::chrono::duration_cast<Milliseconds>(m_parts->timers.now() - m_parts->shutdown->began);
    const ConnectionCounts counts = m_parts->callers.connectionCounts();
    const auto count = [&](ConnectionState state) {
        return QString::number(counts[std::size_t(state)]);
    };
    logEvent(LogLevel::Info, EventId::ShutdownProgress,
             {{"vm", m_parts->settings.vm.text()},
              {"since_ms", QString::number(since.count())},
              {"grace_ms", QString::number(m_parts->settings.grace.count())},
              {"running", QString::number(m_parts->gateway.running())},
              {"awaiting_first", count(ConnectionState::AwaitingFirst)},
              {"awaiting_next", count(ConnectionState::AwaitingNext)},
              {"receiving", count(ConnectionState::Receiving)},
              {"answering", count(ConnectionState::Answering)},
              {"streaming", count(ConnectionState::Streaming)},
              {"lingering", count(ConnectionState::Lingering)},
              {"forwarded", QString::number(m_parts->peerListener.busyConnections())}});
}

bool RelayDaemon::isIdle() const
{
    return m_parts->gateway.running() == 0 && m_parts->callers.busyConnections() == 0
        && m_parts->peerListener.busyConnections() == 0 && !m_parts->stops.hasRecent();
}

void RelayDaemon::checkDrain()
{
    const MonotonicTime now = m_parts->timers.now();
    const ShutdownPlan &plan = *m_parts->shutdown;
    const bool areAnswersDue = now >= plan.answersDue;
    // New connections arrive until the balancer has removed this daemon, and must not be refused.
    if (now < plan.began + BalancerRemovalDelay && !areAnswersDue)
        return;
    m_parts->callers.closeIdle();
    if (areAnswersDue || isIdle()) {
        m_parts->callers.end();
        m_parts->peerListener.end();
    }
    const bool isOver = now >= plan.exit || (!m_parts->callers.isAccepting() && isIdle());
    if (isOver)
        endProcess();
}

void RelayDaemon::endProcess()
{
    m_drainTimer.reset();
    m_progressTimer.reset();
    logShutdownProgress();
    m_parts->callers.logUnanswered();
    m_parts->peers.leave();
    logEvent(LogLevel::Info, EventId::DaemonStopped, {{"vm", m_parts->settings.vm.text()}});
    m_onDrained();
}

} // namespace cranberry
