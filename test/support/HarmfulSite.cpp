#include "support/HarmfulSite.h"

#include "support/EventLoop.h"

#include <QFile>

#include <algorithm>
#include <csignal>
#include <ostream>

namespace cranberry::test {

namespace {

constexpr Milliseconds KillInterval{1500};
constexpr Milliseconds StopTime{3000};
constexpr Milliseconds StoreOutage{7000};
const QByteArray CallerDeadlineMs = "4000";

} // namespace

std::ostream &operator<<(std::ostream &out, const HarmfulShape &shape)
{
    return out << shape.name;
}

HarmfulShape withForm(const char *name, standin::CrashForm form)
{
    HarmfulShape shape;
    shape.name = name;
    shape.behaviour.form = form;
    return shape;
}

quint32 harmfulSeed()
{
    bool isNumber = false;
    const quint32 given = qEnvironmentVariable("CRANBERRY_TEST_SEED").toUInt(&isNumber);
    return isNumber ? given : 1;
}

HarmfulSite::HarmfulSite(const HarmfulShape &shape, HarmfulTraffic traffic)
    : m_shape(shape)
    , m_traffic(std::move(traffic))
    , m_random(harmfulSeed())
    , m_targets(m_site, harmfulSeed(), m_traffic.service)
{
    m_checks.expectStreams(PlatformSite::events(standin::CrashingTargets::GeneratedEvents));
    m_site.configure(1);
    m_targets.setBehaviour(shape.behaviour);
    m_targets.add(shape.targets, shape.daemons);
    m_targets.onRan([this](const QByteArray &target, const HttpRequest &request) {
        m_checks.ran(target, request);
    });
    for (int i = 0; i < shape.daemons; ++i)
        m_site.startDaemon();
    waitFor([&] { return knowEachOther(); });
}

HarmfulSite::~HarmfulSite()
{
    const QString folder = qEnvironmentVariable("CRANBERRY_TEST_LOGS");
    if (folder.isEmpty())
        return;
    for (int daemon = 0; daemon < m_shape.daemons; ++daemon) {
        QFile file(
            QStringLiteral("%1/%2-%3.log").arg(folder, QLatin1String(m_shape.name)).arg(daemon));
        if (file.open(QIODevice::WriteOnly))
            file.write(m_site.log(daemon));
    }
}

void HarmfulSite::run()
{
    m_start = m_timers.now();
    m_targets.setFaulty(m_shape.areTargetsFaulty);
    const Milliseconds length = m_traffic.warmUp + m_traffic.duration;
    const MonotonicTime end = m_start + length;
    waitFor(
        [&] {
            step();
            return m_timers.now() >= end;
        },
        length + std::chrono::seconds(30));
    for (int daemon = 0; daemon < m_shape.daemons; ++daemon)
        m_site.signal(daemon, SIGCONT);
    waitFor([&] {
        collect();
        return m_calls.empty();
    });
}

int HarmfulSite::served() const
{
    return int(std::count_if(m_outcomes.begin(), m_outcomes.end(),
                             [](const OrdinaryOutcome &outcome) { return outcome.isServed; }));
}

int HarmfulSite::quarantined() const
{
    return int(std::count_if(m_outcomes.begin(), m_outcomes.end(),
                             [](const OrdinaryOutcome &outcome) { return outcome.isQuarantined; }));
}

bool HarmfulSite::knowEachOther()
{
    for (int daemon = 0; daemon < m_shape.daemons; ++daemon) {
        if (!m_site.log(daemon).contains("name=peers.listed listed="
                                         + QByteArray::number(m_shape.daemons)))
            return false;
    }
    return true;
}

bool HarmfulSite::isDue(MonotonicTime &next, Milliseconds interval)
{
    if (next == MonotonicTime())
        next = m_start;
    if (next > m_timers.now())
        return false;
    next += interval;
    return true;
}

int HarmfulSite::randomDaemon()
{
    int daemon = 0;
    do {
        daemon = int(m_random() % quint32(m_shape.daemons));
    } while (m_site.hasEnded(daemon));
    return daemon;
}

void HarmfulSite::step()
{
    while (isDue(m_nextOrdinary, m_traffic.ordinaryInterval))
        sendOrdinary();
    if (m_timers.now() < harmFrom()) {
        m_nextHarmful = harmFrom();
    } else {
        while (isDue(m_nextHarmful, m_traffic.harmfulInterval))
            sendHarmful();
    }
    disturb();
    collect();
}

void HarmfulSite::sendOrdinary()
{
    const QByteArray id = "o" + QByteArray::number(++m_ordinary);
    const PlannedRequest request = m_traffic.ordinary(id, m_random);
    send(request, id, randomDaemon(), true);
}

void HarmfulSite::sendHarmful()
{
    for (const PlannedRequest &request : m_traffic.harmful(m_shape.harms, m_random)) {
        const QByteArray id = "h" + QByteArray::number(++m_harmful);
        const bool isAtFirst = m_traffic.isHarmAtOneDaemon && !m_site.hasEnded(0);
        send(request, id, isAtFirst ? 0 : randomDaemon(), false);
    }
}

void HarmfulSite::send(const PlannedRequest &request, const QByteArray &id, int daemon,
                       bool isOrdinary)
{
    HttpHeaders headers = request.headers;
    headers.add("Cranberryquay-Deadline-Ms", CallerDeadlineMs);
    m_calls.push_back({id, isOrdinary, request.tag, m_timers.now(),
                       m_site.sendWithBody(daemon, request.path, id, request.body, headers)});
}

void HarmfulSite::disturb()
{
    const MonotonicTime now = m_timers.now();
    const int crashed = m_targets.crashed();
    const bool isFirst = crashed > 0 && m_crashedBefore == 0;
    if (m_shape.others > 0 && crashed > m_crashedBefore && crashed >= 2 && crashed <= 3)
        m_targets.crashOthers(m_shape.others);
    m_crashedBefore = crashed;
    if (isFirst && m_shape.isPartitioned)
        m_targets.partition({0}, standin::PartitionForm::Hang);
    if (isFirst && m_shape.isStopped) {
        m_site.signal(0, SIGSTOP);
        m_continueAt = now + StopTime;
    }
    if (m_continueAt && now >= *m_continueAt) {
        m_continueAt.reset();
        m_site.signal(0, SIGCONT);
    }
    if (isFirst && m_shape.isStoreAway) {
        m_site.store().refuse(standin::StoreEmulator::Door::First, true);
        m_storeBackAt = now + StoreOutage;
    }
    if (m_storeBackAt && now >= *m_storeBackAt) {
        m_storeBackAt.reset();
        m_site.store().refuse(standin::StoreEmulator::Door::First, false);
    }
    killInTurn(now);
}

void HarmfulSite::killInTurn(MonotonicTime now)
{
    if (m_shape.killsFrom.count() == 0 || now < harmFrom() + m_shape.killsFrom)
        return;
    if (m_killed >= 0 && m_site.hasEnded(m_killed)) {
        m_site.restart(m_killed);
        m_killed = -1;
    }
    if (now < m_nextKill)
        return;
    m_nextKill = now + KillInterval;
    m_killed = m_nextVictim++ % m_shape.daemons;
    m_site.signal(m_killed, SIGKILL);
}

void HarmfulSite::collect()
{
    for (auto call = m_calls.begin(); call != m_calls.end();) {
        const bool leaves = !call->isOrdinary && m_shape.patience.count() > 0
            && m_timers.now() - call->since >= m_shape.patience;
        if (!call->call->isOver && !leaves) {
            ++call;
            continue;
        }
        if (call->call->isOver)
            answered(*call);
        call = m_calls.erase(call);
    }
}

void HarmfulSite::answered(const Call &call)
{
    const HttpResponse &response = call.call->response;
    const bool isWhole = call.call->end == HttpExchangeEnd::Complete;
    m_checks.answered(call.id, response, isWhole);
    if (!call.isOrdinary)
        return;
    OrdinaryOutcome outcome;
    outcome.tag = call.tag;
    outcome.sentAt = call.since;
    outcome.hasBegun = response.status == 200 && !response.body.isEmpty();
    outcome.isServed = response.status == 200 && isWhole;
    outcome.isQuarantined = response.body.contains("\"quarantined\"");
    m_outcomes.push_back(outcome);
}

} // namespace cranberry::test
