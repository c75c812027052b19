#include "soak/SoakRun.h"

#include "http/CallerReply.h"
#include "support/ConnectionOwner.h"
#include "support/EventLoop.h"

#include <QElapsedTimer>

#include <csignal>
#include <iterator>

namespace cranberry::soak {

namespace {

constexpr int EventsPerStream = 120;
constexpr Milliseconds EventInterval{10};
/// Average interval between requests, and between faults.
constexpr int RequestIntervalMs = 15;
constexpr int FaultIntervalMs = 400;
/// Average interval between changes of rate limits; a limit counts from 3 s after it was named.
constexpr int LimitIntervalMs = 2500;
/// Average interval between changes of pauses, and the bounds of their lengths.
constexpr int PauseIntervalMs = 1000;
constexpr int MinPauseMs = 300;
constexpr int MaxPauseMs = 4000;
/// Of three requests after a pause, a target takes one and asks for a pause in its answers to the
/// others.
constexpr int AnswersPerSuccess = 3;
/// Average interval between changes of refusals.
constexpr int RefusalIntervalMs = 1200;
/// Average interval between changes of partitions; a daemon finds out within a second.
constexpr int PartitionIntervalMs = 2500;
constexpr Milliseconds EngineRestartTime{700};
constexpr int FragileTargets = 6;
/// Interval between requests of callers that repeat a harmful request; another one follows later.
constexpr int FragileIntervalMs = 150;
constexpr int HarmfulRequestMs = 6000;
/// A harmful request, or requests with a harmful part, may be sent this often later than StableTime
/// after the last crash allowed.
constexpr int MaxLateRuns = 3;
constexpr int CrashesAllowed = 3;
constexpr int CrashesAllowedForPart = 5;
/// First parts of prompts, and second ones, that requests share.
constexpr int SharedParts = 4;
constexpr Milliseconds StableTime{3000};
constexpr int MaxOutputTokens = 120;
constexpr int PromptTokens = 500;
/// Time for the pending requests to end after the last fault; their deadline is 15 s.
constexpr std::chrono::seconds CompletionTimeout{20};

} // namespace

SoakRun::SoakRun(const SoakOptions &options)
    : m_options(options)
    , m_random(options.seed)
    , m_limitRandom(options.seed)
    , m_refusalRandom(options.seed)
    , m_tearRandom(options.seed)
    , m_partitionRandom(options.seed)
    , m_pauseRandom(options.seed)
    , m_fragileRandom(options.seed)
    , m_fragile(m_site, options.seed, "fragile")
{
    m_site.setFragileService();
    m_site.setBusyService();
    m_site.setSteadyService();
    m_checks.expectStreams(test::PlatformSite::events(EventsPerStream));
    m_site.configure(m_version);
    for (int i = 0; i < options.engines; ++i)
        addEngine();
    for (int i = 0; i < 2; ++i) {
        m_plainTargets.push_back(&m_site.addRunner("plain-" + QByteArray::number(i), "plain"));
        m_plainTargets.back()->setAnnounced(
            addPartitionProxy(m_plainTargets.back()->endpoint()).endpoint());
        m_site.announce(*m_plainTargets.back(), "plain", "ready");
        watchArrivals(*m_plainTargets.back(), false);
        m_plainTargets.back()->onRan([this, i](const HttpRequest &request) {
            recordRun("plain-" + QByteArray::number(i), request);
        });
    }
    m_fragile.onRan([this](const QByteArray &target, const HttpRequest &request) {
        recordRun(target, request);
    });
    m_fragile.add(FragileTargets, options.daemons);
    for (int i = 0; i < options.daemons; ++i) {
        const int daemon = m_site.startDaemon();
        m_proxies.push_back(std::make_unique<FaultProxy>(m_site.callers(daemon)));
        m_paused.push_back(false);
    }
    m_competing = std::make_unique<CompetingLoad>(m_site, options.seed, options.daemons);
    m_abandoned =
        std::make_unique<AbandonedStreams>(m_site, m_checks, options.seed, options.daemons);
}

SoakRun::~SoakRun() = default;

void SoakRun::addEngine()
{
    const QByteArray id = "engine-" + QByteArray::number(qulonglong(m_engines.size()));
    standin::RunnerEmulator &engine = m_site.addRunner(id, "model");
    engine.setGeneration(EventsPerStream, EventInterval);
    watchArrivals(engine, true);
    engine.onRan([this, id](const HttpRequest &request) { recordRun(id, request); });
    m_engines.push_back(&engine);
    m_engineProxies.push_back(nullptr);
    engine.setLosesMoveAnswers(m_tearRandom() % 4 == 0);
    HttpEndpoint endpoint = engine.endpoint();
    if (m_tearRandom() % 2 != 0) {
        m_engineProxies.back() = std::make_unique<standin::CloseDelimitedProxy>(endpoint);
        endpoint = m_engineProxies.back()->endpoint();
    }
    m_enginePartitionProxies.push_back(&addPartitionProxy(endpoint));
    engine.setAnnounced(m_enginePartitionProxies.back()->endpoint());
    m_site.announce(engine, "model", "ready");
}

standin::PartitionProxy &SoakRun::addPartitionProxy(const HttpEndpoint &endpoint)
{
    m_partitionProxies.push_back(std::make_unique<standin::PartitionProxy>(
        endpoint, [this](quint16 port, quint16 proxyPort) {
            return test::connectionOwner(port, proxyPort, m_site.processes());
        }));
    m_partitionProxies.back()->partition(m_partitioned, m_partitionForm);
    return *m_partitionProxies.back();
}

void SoakRun::disturbed(int daemon)
{
    m_pauses.disturbed(daemon, m_timers.now());
}

void SoakRun::changePartition()
{
    for (const int daemon : std::as_const(m_partitioned))
        disturbed(daemon);
    m_partitioned.clear();
    m_partitionForm = standin::PartitionForm(m_partitionRandom() % standin::PartitionFormCount);
    const bool isPartition = m_partitionRandom() % 3 != 0;
    for (int daemon = 0; daemon < m_options.daemons; ++daemon) {
        if (isPartition && m_partitionRandom() % 2 == 0)
            m_partitioned.insert(daemon);
    }
    for (const int daemon : std::as_const(m_partitioned))
        disturbed(daemon);
    for (const auto &proxy : m_partitionProxies)
        proxy->partition(m_partitioned, m_partitionForm);
    m_fragile.partition(m_partitioned, m_partitionForm);
}

void SoakRun::crashEngine(std::size_t index)
{
    if (standin::CloseDelimitedProxy *proxy = m_engineProxies[index].get()) {
        const QByteArray event = standin::RunnerEmulator::event(EventsPerStream);
        const qsizetype tornBytes = qsizetype(m_tearRandom() % quint32(event.size()));
        proxy->setTornBytes(event.left(tornBytes));
        // No byte shows a stream that was torn between two events; the end of the process does.
        if (tornBytes == 0 || m_tearRandom() % 2 == 0) {
            proxy->stopListeningFor(EngineRestartTime);
            m_enginePartitionProxies[index]->stopListeningFor(EngineRestartTime);
        }
    }
    m_engines[index]->crash();
}

void SoakRun::recordRun(const QByteArray &target, const HttpRequest &request)
{
    m_checks.ran(target, request);
    m_limits.received(target, request, m_timers.now());
}

void SoakRun::changeLimit()
{
    const bool isPlain = m_limitRandom() % 4 != 0;
    const std::vector<standin::RunnerEmulator *> &targets = isPlain ? m_plainTargets : m_engines;
    standin::RunnerEmulator &target = *targets[m_limitRandom() % targets.size()];
    const quint32 tenths = m_limitRandom() % 100;
    const bool isEnd = m_limitRandom() % 4 == 0;
    const double perSecond = double(tenths) / 10;
    target.setRateLimit(isEnd ? QByteArray() : QByteArray::number(perSecond));
    m_limits.named(target.id(), isEnd ? std::nullopt : std::optional<double>(perSecond),
                   m_timers.now());
}

void SoakRun::changePauses()
{
    const bool isPlain = m_pauseRandom() % 2 != 0;
    const std::vector<standin::RunnerEmulator *> &targets = isPlain ? m_plainTargets : m_engines;
    const QByteArray target = targets[m_pauseRandom() % targets.size()]->id();
    const Milliseconds pause(MinPauseMs + int(m_pauseRandom() % (MaxPauseMs - MinPauseMs)));
    if (m_pauseRandom() % 2 == 0)
        m_pausing[target] = pause;
    else
        m_pausing.erase(target);
}

bool SoakRun::rejectForPause(const QByteArray &target, const HttpRequest &request,
                             const standin::RunnerEmulator::Reply &reply)
{
    const QByteArray id = standin::requestIdOf(request);
    const auto pausing = m_pausing.find(target);
    const int daemon = m_pauses.daemonOf(id);
    const MonotonicTime now = m_timers.now();
    MonotonicTime &until = m_pausedUntil[{target, daemon}];
    const bool isPaused = now < until;
    const bool asks =
        !isPaused && pausing != m_pausing.end() && m_pauseRandom() % AnswersPerSuccess != 0;
    if (!isPaused && !asks)
        return false;
    HttpResponse rejection = standin::refusalAnswer(request);
    // The daemon of a caller that has left has closed the connection.
    if (asks && !reply->callerAddress().isEmpty()) {
        until = now + pausing->second;
        rejection.headers.add("Retry-After",
                              QByteArray::number(double(pausing->second.count()) / 1000));
        m_pauses.paused(target, id, pausing->second, now);
    }
    reply->send(rejection);
    return true;
}

void SoakRun::watchArrivals(standin::RunnerEmulator &target, bool isEngine)
{
    target.setOverride([this, isEngine, &target](const HttpRequest &request,
                                                 const standin::RunnerEmulator::Reply &reply) {
        if (request.path.startsWith("/v1/"))
            return false;
        const QByteArray id = standin::requestIdOf(request);
        m_pauses.received(target.id(), id, m_timers.now());
        (isEngine ? m_engineRetries : m_plainRetries).received(request, m_timers.now());
        const bool isRefusing = isEngine ? m_areEnginesRefusing : m_arePlainTargetsRefusing;
        if (isRefusing)
            reply->send(standin::refusalAnswer(request));
        return isRefusing || rejectForPause(target.id(), request, reply);
    });
}

void SoakRun::changeRefusals()
{
    bool &isRefusing =
        m_refusalRandom() % 2 == 0 ? m_areEnginesRefusing : m_arePlainTargetsRefusing;
    isRefusing = !isRefusing;
}

QStringList SoakRun::brokenBudgets() const
{
    QStringList broken;
    for (const auto &[name, checks] :
         {std::pair("engines", &m_engineRetries), std::pair("plain targets", &m_plainRetries)}) {
        const standin::RetryWindow worst = checks->worstWindow();
        if (worst.repeats > worst.allowed)
            broken.append(QStringLiteral("%1 received %2 repeats in 10 s, allowed are %3")
                              .arg(QLatin1String(name))
                              .arg(worst.repeats)
                              .arg(worst.allowed));
    }
    return broken;
}

void SoakRun::sendFragile()
{
    const int daemon = int(m_fragileRandom() % quint32(m_options.daemons));
    const bool isHarmful = m_fragileRandom() % 2 == 0;
    const bool isSafe = m_fragileRandom() % 2 == 0;
    const bool leaves = isHarmful && m_fragileRandom() % 3 == 0;
    if (m_site.hasEnded(daemon))
        return;
    const QByteArray id =
        "f" + QByteArray::number(m_options.seed) + '-' + QByteArray::number(++m_requestCount);
    const bool isPartHarmful = isHarmful && m_fragileRandom() % 2 == 0;
    const QByteArray body = isHarmful && !isPartHarmful ? standin::CrashingTargets::HarmfulPrefix
            + QByteArray(isSafe ? "-safe-" : "-unsafe-") + QByteArray::number(m_harmfulBodies)
                                                        : "body of " + id;
    QByteArray parts[] = {"a" + QByteArray::number(m_fragileRandom() % SharedParts),
                          "b" + QByteArray::number(m_fragileRandom() % SharedParts)};
    if (isPartHarmful)
        parts[m_fragileRandom() % std::size(parts)] =
            standin::CrashingTargets::HarmfulPart + QByteArray::number(m_harmfulBodies);
    const HttpHeaders prompt = test::PlatformSite::promptParts(
        {parts[0], parts[1], "c" + QByteArray::number(m_requestCount)});
    m_limits.sent(id, daemon);
    m_pending.push_back(
        {id,
         m_site.sendWithBody(daemon, isSafe ? "/fragile-safe/a" : "/fragile-unsafe/a", id, body,
                             prompt),
         daemon, false});
    if (leaves)
        m_pending.pop_back();
}

QStringList SoakRun::brokenCrashBounds() const
{
    QStringList broken;
    for (const auto &[body, runs] : m_fragile.harmful()) {
        const bool isPart = body.startsWith(standin::CrashingTargets::HarmfulPart);
        const int allowed = isPart ? CrashesAllowedForPart : CrashesAllowed;
        const int late = runs.lateRuns(StableTime, std::size_t(allowed));
        if (late > MaxLateRuns)
            broken.append(QStringLiteral("%1 ran %2 times later than 3 s after crash %3, "
                                         "allowed are %4; it crashed %5 targets")
                              .arg(QString::fromLatin1(body))
                              .arg(late)
                              .arg(allowed)
                              .arg(MaxLateRuns)
                              .arg(runs.crashes.size()));
    }
    return broken;
}

const standin::PromiseChecks &SoakRun::run()
{
    QElapsedTimer elapsed;
    elapsed.start();
    qint64 nextRequestMs = 0;
    qint64 nextFaultMs = FaultIntervalMs;
    qint64 nextLimitMs = LimitIntervalMs / 2;
    qint64 nextRefusalMs = RefusalIntervalMs;
    qint64 nextPauseMs = PauseIntervalMs;
    qint64 nextPartitionMs = PartitionIntervalMs / 2;
    qint64 nextFragileMs = FragileIntervalMs;
    qint64 nextHarmfulMs = 0;
    const qint64 endMs = std::chrono::milliseconds(m_options.duration).count();
    test::waitFor(
        [&] {
            while (nextRequestMs <= elapsed.elapsed()) {
                sendRequest();
                nextRequestMs += 1 + randomBelow(2 * RequestIntervalMs);
            }
            while (nextFaultMs <= elapsed.elapsed()) {
                injectFault();
                nextFaultMs += 1 + randomBelow(2 * FaultIntervalMs);
            }
            while (nextLimitMs <= elapsed.elapsed()) {
                changeLimit();
                nextLimitMs += 1 + m_limitRandom() % (2 * LimitIntervalMs);
            }
            while (nextRefusalMs <= elapsed.elapsed()) {
                changeRefusals();
                nextRefusalMs += 1 + m_refusalRandom() % (2 * RefusalIntervalMs);
            }
            while (nextPauseMs <= elapsed.elapsed()) {
                changePauses();
                nextPauseMs += 1 + m_pauseRandom() % (2 * PauseIntervalMs);
            }
            while (nextPartitionMs <= elapsed.elapsed()) {
                changePartition();
                nextPartitionMs += 1 + m_partitionRandom() % (2 * PartitionIntervalMs);
            }
            while (nextHarmfulMs <= elapsed.elapsed()) {
                ++m_harmfulBodies;
                m_fragile.setBehaviour(
                    {standin::CrashForm(m_fragileRandom() % standin::CrashFormCount),
                     Milliseconds(1500 + m_fragileRandom() % 3500), m_fragileRandom() % 2 == 0});
                nextHarmfulMs += HarmfulRequestMs;
            }
            while (nextFragileMs <= elapsed.elapsed()) {
                sendFragile();
                nextFragileMs += FragileIntervalMs;
            }
            collectAnswers();
            m_competing->step(m_paused);
            m_abandoned->step(m_paused);
            return elapsed.elapsed() > endMs;
        },
        m_options.duration + CompletionTimeout);
    clearFaults();
    m_competing->stop();
    m_abandoned->stop();
    test::waitFor(
        [&] {
            collectAnswers();
            m_competing->step(m_paused);
            m_abandoned->step(m_paused);
            return m_pending.empty() && m_competing->isOver() && m_abandoned->isOver();
        },
        CompletionTimeout);
    return m_checks;
}

void SoakRun::sendRequest()
{
    const int daemon = randomBelow(m_options.daemons);
    if (m_site.hasEnded(daemon))
        return;
    const QByteArray id =
        "s" + QByteArray::number(m_options.seed) + '-' + QByteArray::number(++m_requestCount);
    m_limits.sent(id, daemon);
    m_pauses.sent(id, daemon, m_timers.now());
    const HttpEndpoint endpoint = m_proxies[size_t(daemon)]->endpoint();
    const int kind = randomBelow(4);
    (kind == 0 ? m_engineRetries : m_plainRetries).sent(m_timers.now());
    switch (kind) {
    case 0:
        m_pending.push_back(
            {id,
             m_site.sendTo(endpoint, "POST", "/model/a", id,
                           test::PlatformSite::generation(PromptTokens, MaxOutputTokens)),
             daemon, false});
        break;
    case 1:
        m_pending.push_back({id, m_site.sendTo(endpoint, "GET", "/safe/a", id, {}), daemon, false});
        break;
    default:
        m_pending.push_back(
            {id, m_site.sendTo(endpoint, "POST", "/unsafe/a", id, {}), daemon, false});
        break;
    }
    // One client in 20 disconnects before the answer.
    if (randomBelow(20) == 0)
        m_pending.pop_back();
}

void SoakRun::collectAnswers()
{
    for (auto pending = m_pending.begin(); pending != m_pending.end();) {
        if (!pending->call->isOver) {
            ++pending;
            continue;
        }
        const bool isWhole = pending->call->end == HttpExchangeEnd::Complete;
        m_limits.passedOn(pending->call->response.headers, pending->daemon, m_timers.now());
        m_checks.answered(pending->id, pending->call->response, isWhole);
        pending = m_pending.erase(pending);
    }
}

void SoakRun::injectFault()
{
    switch (randomBelow(4)) {
    case 0:
        injectStoreFault();
        break;
    case 1:
        injectEngineFault();
        break;
    case 2:
        injectDaemonFault();
        break;
    default: {
        FaultProxy &proxy = *m_proxies[size_t(randomBelow(m_options.daemons))];
        if (randomBelow(3) == 0)
            proxy.abortConnections();
        proxy.setFault(LinkFault(randomBelow(4)));
        break;
    }
    }
}

void SoakRun::injectDaemonFault()
{
    const int daemon = randomBelow(m_options.daemons);
    const auto index = size_t(daemon);
    m_limits.disturbed(daemon, m_timers.now());
    disturbed(daemon);
    m_competing->disturbed(daemon);
    m_abandoned->disturbed(daemon);
    if (m_site.hasEnded(daemon)) {
        // The process has exited; a new one replaces it.
        m_site.restart(daemon);
        m_proxies[index] = std::make_unique<FaultProxy>(m_site.callers(daemon));
        m_paused[index] = false;
        return;
    }
    if (m_paused[index]) {
        m_site.signal(daemon, SIGCONT);
        m_paused[index] = false;
        return;
    }
    constexpr int Signals[] = {SIGTERM, SIGKILL, SIGSTOP, SIGHUP, SIGHUP};
    const int signal = Signals[randomBelow(5)];
    m_paused[index] = signal == SIGSTOP;
    m_site.signal(daemon, signal);
}

void SoakRun::injectStoreFault()
{
    standin::StoreEmulator &store = m_site.store();
    switch (randomBelow(4)) {
    case 0:
        store.refuse(standin::StoreEmulator::Door::First, true);
        break;
    case 1:
        store.refuse(standin::StoreEmulator::Door::First, false);
        break;
    case 2:
        store.compact();
        store.cutWatches(randomBelow(2) == 0);
        break;
    default:
        m_site.configure(++m_version, randomBelow(2) == 0);
        break;
    }
}

void SoakRun::injectEngineFault()
{
    const auto index = size_t(randomBelow(int(m_engines.size())));
    standin::RunnerEmulator &engine = *m_engines[index];
    if (randomBelow(3) == 0) {
        crashEngine(index);
        return;
    }
    // The engine drains, and a new one joins.
    m_site.announce(engine, "model", "draining");
    addEngine();
}

void SoakRun::clearFaults()
{
    m_site.store().refuse(standin::StoreEmulator::Door::First, false);
    m_site.store().cutWatches(false);
    m_areEnginesRefusing = false;
    m_arePlainTargetsRefusing = false;
    m_pausing.clear();
    for (const auto &proxy : m_partitionProxies)
        proxy->heal();
    m_fragile.partition({}, standin::PartitionForm::Hang);
    for (int daemon = 0; daemon < m_options.daemons; ++daemon) {
        m_proxies[size_t(daemon)]->setFault(LinkFault::None);
        if (m_paused[size_t(daemon)]) {
            m_site.signal(daemon, SIGCONT);
            m_competing->disturbed(daemon);
            m_abandoned->disturbed(daemon);
        }
    }
}

} // namespace cranberry::soak
