#include "soak/ShutdownSoak.h"

#include "base/TimerSubscription.h"
#include "http/CallerReply.h"
#include "standins/users/RetryChecks.h"
#include "support/EventLoop.h"

#include <QJsonDocument>
#include <QJsonObject>

#include <algorithm>
#include <array>
#include <csignal>

namespace cranberry::soak {

namespace {

constexpr Milliseconds Grace{8000};
constexpr Milliseconds PlainTimeout{1200};
constexpr Milliseconds PlainObjective{150};
/// A stream that is sent this long after the signal must not be cut.
constexpr Milliseconds BalancerRemovalDelay{3000};
/// In the last sixth of the grace time.
constexpr int MayCutDivisor = 6;
/// Grace times to which settings files change, in seconds.
constexpr std::array<double, 4> ChangedGraces{6.25, 7.5, 8, 10.75};
constexpr double MillisecondsPerSecond = 1000;
/// Deadline of streams, after which they may be cut.
constexpr Milliseconds StreamDeadline{15000};
/// How late a process may read its signal.
constexpr int MaxSignalDelayMs = 200;
constexpr int PlainTargets = 4;
constexpr int Engines = 3;
constexpr int LongEvents = 1200;
constexpr int ShortEvents = 5;
constexpr Milliseconds EventInterval{10};
/// Average intervals for each daemon.
constexpr int PlainIntervalMs = 60;
constexpr int StreamIntervalMs = 900;
constexpr int StopIntervalMs = 7000;
constexpr int ChangeIntervalMs = 1500;
constexpr int GraceChangeIntervalMs = 2000;
constexpr int MaxRestartDelayMs = 1500;
/// Work of plain targets; one request in SlowShare takes up to MaxSlowWorkMs.
constexpr int MinWorkMs = 30;
constexpr int MaxWorkMs = 220;
constexpr int MaxSlowWorkMs = 900;
constexpr int SlowShare = 20;
constexpr std::chrono::seconds CompletionTimeout{30};

} // namespace

ShutdownSoak::ShutdownSoak(const SoakOptions &options)
    : m_options(options)
    , m_random(options.seed)
    , m_settingsRandom(options.seed)
{
    m_site.setGrace(Grace);
    m_site.setPlainTimes(PlainTimeout, PlainObjective);
    m_site.setSteadyService();
    m_checks.expectStreams(test::PlatformSite::events(ShortEvents));
    m_longChecks.expectStreams(test::PlatformSite::events(LongEvents));
    m_site.configure(m_version);
    addTargets();
    for (int i = 0; i < options.daemons; ++i) {
        m_site.startDaemon();
        m_daemons.emplace_back().grace = Grace;
    }
    m_nextPlain = m_nextStream = m_nextStop = m_nextChange = m_nextGraceChange = m_timers.now();
}

ShutdownSoak::~ShutdownSoak() = default;

void ShutdownSoak::addTargets()
{
    for (int i = 0; i < PlainTargets; ++i) {
        const QByteArray id = "plain-" + QByteArray::number(i);
        standin::RunnerEmulator &target = m_site.addRunner(id, "plain");
        target.setSlots(8 * m_options.daemons);
        m_site.announce(target, "plain", "ready");
        target.setOverride([this, &target, id](const HttpRequest &request,
                                               const standin::RunnerEmulator::Reply &reply) {
            if (request.path.startsWith("/v1/"))
                return false;
            m_ran.insert(standin::requestIdOf(request));
            m_checks.ran(id, request);
            answerLater(target, request, reply);
            return true;
        });
    }
    for (const bool isLong : {false, true}) {
        for (int i = 0; i < Engines; ++i) {
            const QByteArray service = isLong ? "model" : "steady";
            const QByteArray id = service + '-' + QByteArray::number(i);
            standin::RunnerEmulator &engine = m_site.addRunner(id, service);
            engine.setGeneration(isLong ? LongEvents : ShortEvents, EventInterval);
            engine.onRan([this, id, isLong](const HttpRequest &request) {
                m_ran.insert(standin::requestIdOf(request));
                (isLong ? m_longChecks : m_checks).ran(id, request);
            });
        }
    }
}

void ShutdownSoak::answerLater(standin::RunnerEmulator &target, const HttpRequest &request,
                               const standin::RunnerEmulator::Reply &reply)
{
    const int most = randomBelow(SlowShare) == 0 ? MaxSlowWorkMs : MaxWorkMs;
    const quint64 number = ++m_lastWork;
    m_works[number] = m_timers.after(
        Milliseconds(MinWorkMs) + randomTime(most - MinWorkMs),
        [this, &target, request, reply, number] {
            reply->send({200, target.answerHeaders(request), "answer to " + request.body});
            m_works.erase(number);
        });
}

QList<test::RequestPart> ShutdownSoak::plainRequest(const QByteArray &id)
{
    // Most callers send at once, some are slow to begin or slow in between.
    const Milliseconds beforeFirst = randomTime(randomBelow(4) == 0 ? 150 : 5);
    const Milliseconds beforeSecond = randomTime(randomBelow(5) == 0 ? 600 : 2);
    const QByteArray path = randomBelow(4) == 0 ? "/safe/a" : "/unsafe/a";
    return test::requestInParts(path, id, randomBelow(3) == 0, beforeFirst, beforeSecond);
}

void ShutdownSoak::sendPlain()
{
    const int daemon = randomBelow(m_options.daemons);
    if (m_site.hasEnded(daemon))
        return;
    PlainCall call;
    call.id = "p" + QByteArray::number(m_options.seed) + '-' + QByteArray::number(++m_count);
    call.daemon = daemon;
    call.caller = std::make_unique<test::RawCaller>(m_site.callers(daemon));
    call.caller->send(plainRequest(call.id));
    m_plain.push_back(std::move(call));
}

void ShutdownSoak::sendStream()
{
    const int daemon = randomBelow(m_options.daemons);
    if (m_site.hasEnded(daemon))
        return;
    const bool isLong = randomBelow(3) == 0;
    const QByteArray id =
        "s" + QByteArray::number(m_options.seed) + '-' + QByteArray::number(++m_count);
    const HttpHeaders tokens =
        test::PlatformSite::generation(100, isLong ? LongEvents : ShortEvents);
    m_streams.push_back(
        {id, daemon, isLong, m_timers.now(),
         m_site.send(daemon, "POST", isLong ? "/model/a" : "/steady/a", id, tokens)});
}

void ShutdownSoak::collectPlain()
{
    const MonotonicTime now = m_timers.now();
    for (PlainCall &call : m_plain) {
        test::RawCaller &caller = *call.caller;
        if (!caller.isOver())
            continue;
        if (!call.isCounted) {
            call.isCounted = true;
            const HttpResponse &response = caller.response();
            m_checks.answered(call.id, response, caller.isWhole());
            m_rejected += caller.isWhole() && response.status == 503 ? 1 : 0;
            if (!caller.isWhole() && m_ran.contains(call.id))
                breaks(call.daemon, call.id,
                       QStringLiteral("request %1 ran and has no whole answer")
                           .arg(QString::fromLatin1(call.id)));
            m_unread += caller.isWhole() || m_ran.contains(call.id) ? 0 : 1;
            if (caller.isOpen() && randomBelow(2) == 0)
                call.nextAt = now + randomTime(4000);
        }
        if (call.nextAt != MonotonicTime() && now >= call.nextAt && caller.isOpen() && !m_isOver) {
            call.id =
                "k" + QByteArray::number(m_options.seed) + '-' + QByteArray::number(++m_count);
            call.isCounted = false;
            call.nextAt = {};
            caller.send(plainRequest(call.id));
        }
    }
    const auto isDone = [this](const PlainCall &call) {
        return call.isCounted
            && (call.nextAt == MonotonicTime() || !call.caller->isOpen() || m_isOver);
    };
    m_plain.erase(std::remove_if(m_plain.begin(), m_plain.end(), isDone), m_plain.end());
}

bool ShutdownSoak::mayBeCut(const StreamCall &stream) const
{
    const Daemon &daemon = m_daemons[std::size_t(stream.daemon)];
    if (m_timers.now() >= stream.sent + StreamDeadline)
        return true;
    return daemon.isStopping && stream.sent <= daemon.signalled + BalancerRemovalDelay
        && m_timers.now() >= daemon.signalled + daemon.grace - daemon.grace / MayCutDivisor;
}

void ShutdownSoak::collectStreams()
{
    const auto ended = std::partition(m_streams.begin(), m_streams.end(),
                                      [](const StreamCall &call) { return !call.call->isOver; });
    for (auto stream = ended; stream != m_streams.end(); ++stream) {
        const bool isWhole = stream->call->end == HttpExchangeEnd::Complete;
        (stream->isLong ? m_longChecks : m_checks)
            .answered(stream->id, stream->call->response, isWhole);
        m_rejected += isWhole && stream->call->response.status == 503 ? 1 : 0;
        const bool hasRun = m_ran.contains(stream->id);
        if (!isWhole && hasRun && !mayBeCut(*stream))
            breaks(stream->daemon, stream->id,
                   QStringLiteral("stream %1 was cut after %2 bytes")
                       .arg(QString::fromLatin1(stream->id))
                       .arg(stream->call->response.body.size()));
        m_unread += isWhole || hasRun ? 0 : 1;
    }
    m_streams.erase(ended, m_streams.end());
}

void ShutdownSoak::stopSome()
{
    // Now and then the whole fleet stops at once.
    if (randomBelow(10) == 0) {
        for (int daemon = 0; daemon < m_options.daemons; ++daemon)
            stopDaemon(daemon);
        return;
    }
    stopDaemon(randomBelow(m_options.daemons));
}

void ShutdownSoak::stopDaemon(int number)
{
    Daemon &daemon = m_daemons[std::size_t(number)];
    if (m_site.hasEnded(number))
        return;
    // Other signals come beside the first one.
    if (daemon.isStopping) {
        m_site.signal(number, randomBelow(2) == 0 ? SIGTERM : SIGHUP);
        return;
    }
    ++m_shutdowns;
    daemon.isStopping = true;
    daemon.signalled = m_timers.now();
    if (randomBelow(3) == 0) {
        m_site.signal(number, SIGSTOP);
        daemon.isFrozen = true;
        daemon.wake = m_timers.after(randomTime(MaxSignalDelayMs), [this, number] {
            m_site.signal(number, SIGCONT);
            m_daemons[std::size_t(number)].isFrozen = false;
        });
    }
    m_site.signal(number, SIGTERM);
    daemon.kill = m_timers.after(daemon.grace, [this, number] {
        if (m_site.hasEnded(number))
            return;
        breaks(number, "name=relay.unfinished",
               QStringLiteral("daemon %1 did not end in its grace time").arg(number));
        m_site.signal(number, SIGKILL);
    });
}

void ShutdownSoak::changeSomeGrace()
{
    if (m_settingsRandom() % 5 == 0) {
        for (int daemon = 0; daemon < m_options.daemons; ++daemon)
            changeGrace(daemon);
        return;
    }
    changeGrace(int(m_settingsRandom() % quint32(m_options.daemons)));
}

void ShutdownSoak::changeGrace(int number)
{
    Daemon &daemon = m_daemons[std::size_t(number)];
    // A signal that is read late would meet a file that is newer than the signal.
    if (daemon.isStopping)
        return;
    const double seconds = ChangedGraces[m_settingsRandom() % ChangedGraces.size()];
    daemon.grace = Milliseconds(qint64(seconds * MillisecondsPerSecond));
    QJsonObject settings = QJsonDocument::fromJson(m_site.settings(number)).object();
    settings.remove(QStringLiteral("grace_ms"));
    settings.insert(QStringLiteral("grace_s"), seconds);
    m_site.changeSettings(number, QJsonDocument(settings).toJson());
    if (m_settingsRandom() % 2 == 0)
        m_site.signal(number, SIGHUP);
    ++m_graceChanges;
}

void ShutdownSoak::breaks(int daemon, const QByteArray &subject, const QString &what)
{
    QString text = what;
    for (const QByteArray &line : m_site.log(daemon).split('\n')) {
        const bool isOfShutdown =
            line.contains("name=daemon.draining") || line.contains("name=daemon.shutdown_progress");
        if (isOfShutdown || line.contains(subject))
            text += QStringLiteral("\n    ") + QString::fromUtf8(line);
    }
    m_broken.append(text);
}

void ShutdownSoak::checkLog(int daemon)
{
    for (const QByteArray &line : m_site.log(daemon).split('\n')) {
        const bool isCut = line.contains("name=connection.unanswered")
            && line.contains("reason=exit")
            && (line.contains("state=receiving") || line.contains("state=answering"));
        if (isCut)
            m_broken.append(QStringLiteral("daemon %1 ended beside a request: %2")
                                .arg(daemon)
                                .arg(QString::fromUtf8(line)));
    }
}

void ShutdownSoak::restartEnded()
{
    const MonotonicTime now = m_timers.now();
    for (int number = 0; number < m_options.daemons; ++number) {
        Daemon &daemon = m_daemons[std::size_t(number)];
        if (!m_site.hasEnded(number))
            continue;
        if (daemon.restartAt == MonotonicTime()) {
            daemon.kill.reset();
            if (!m_site.hasEndedWell(number))
                m_broken.append(QStringLiteral("daemon %1 ended badly").arg(number));
            checkLog(number);
            daemon.restartAt = now + randomTime(MaxRestartDelayMs);
        }
        // Streams of the process before are judged by its signal.
        const bool hasStreams =
            std::any_of(m_streams.begin(), m_streams.end(),
                        [number](const StreamCall &stream) { return stream.daemon == number; });
        if (now < daemon.restartAt || hasStreams)
            continue;
        const Milliseconds grace = daemon.grace;
        daemon = Daemon();
        daemon.grace = grace;
        m_site.restart(number);
    }
}

void ShutdownSoak::step()
{
    const MonotonicTime now = m_timers.now();
    const auto interval = [this](int averageMs) {
        return Milliseconds(1 + randomBelow(2 * averageMs / m_options.daemons));
    };
    for (; !m_isOver && m_nextPlain <= now; m_nextPlain += interval(PlainIntervalMs))
        sendPlain();
    for (; !m_isOver && m_nextStream <= now; m_nextStream += interval(StreamIntervalMs))
        sendStream();
    for (; !m_isOver && m_nextStop <= now; m_nextStop += interval(StopIntervalMs))
        stopSome();
    for (; !m_isOver && m_nextChange <= now;
         m_nextChange += Milliseconds(1 + randomBelow(2 * ChangeIntervalMs)))
        m_site.configure(++m_version, randomBelow(2) == 0);
    for (; !m_isOver && m_nextGraceChange <= now;
         m_nextGraceChange += Milliseconds(1 + m_settingsRandom() % (2 * GraceChangeIntervalMs)))
        changeSomeGrace();
    collectPlain();
    collectStreams();
    restartEnded();
}

void ShutdownSoak::run()
{
    const MonotonicTime end = m_timers.now() + m_options.duration;
    test::waitFor(
        [&] {
            step();
            return m_timers.now() >= end;
        },
        m_options.duration + CompletionTimeout);
    m_isOver = true;
    const bool areAllOver = test::waitFor(
        [&] {
            step();
            return m_plain.empty() && m_streams.empty();
        },
        CompletionTimeout);
    if (!areAllOver)
        m_broken.append(QStringLiteral("%1 requests and %2 streams did not end")
                            .arg(m_plain.size())
                            .arg(m_streams.size()));
}

} // namespace cranberry::soak
