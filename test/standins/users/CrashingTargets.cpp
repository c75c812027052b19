#include "standins/users/CrashingTargets.h"

#include "base/TimerSubscription.h"
#include "http/CallerReply.h"
#include "http/HttpResponse.h"
#include "support/ConnectionOwner.h"

#include <QTimer>

#include <algorithm>

namespace cranberry::standin {

namespace {

constexpr Milliseconds TimeToCrash{50};
constexpr int HeartbeatMs = 1200;
constexpr int MissedHeartbeats = 3;
constexpr Milliseconds EventInterval{30};

bool contains(const std::vector<QByteArray> &values, const QByteArray &value)
{
    return std::find(values.begin(), values.end(), value) != values.end();
}

} // namespace

struct CrashingTargets::Target {
    int number = 0;
    /// Counts the starts of its process.
    int start = 0;
    RunnerEmulator *runner = nullptr;
    std::unique_ptr<PartitionProxy> proxy;
    bool isDown = false;
    /// Requests that it has not answered.
    std::vector<RunnerEmulator::Reply> pending;
    std::vector<QByteArray> harmful;
    std::unique_ptr<TimerSubscription> crashTimer;
    std::unique_ptr<TimerSubscription> returnTimer;
};

const char *crashFormName(CrashForm form)
{
    switch (form) {
    case CrashForm::Refuse:
        return "refuse";
    case CrashForm::Reset:
        return "reset";
    case CrashForm::Silent:
        return "silent";
    }
    return "unknown";
}

int HarmfulRuns::lateRuns(Milliseconds stableTime, std::size_t crashesAllowed) const
{
    if (crashes.size() < crashesAllowed)
        return 0;
    const MonotonicTime bound = crashes[crashesAllowed - 1] + stableTime;
    return int(std::count_if(begun.begin(), begun.end(),
                             [bound](MonotonicTime time) { return time > bound; }));
}

CrashingTargets::CrashingTargets(test::PlatformSite &site, quint32 seed, QByteArray service)
    : m_site(site)
    , m_random(seed)
    , m_service(std::move(service))
{
}

CrashingTargets::~CrashingTargets() = default;

QString CrashingTargets::key(const Target &target) const
{
    return QStringLiteral("servers/") + QString::fromLatin1(target.runner->id());
}

void CrashingTargets::add(int count, int maxDaemons)
{
    for (int daemon = -1; daemon < maxDaemons; ++daemon)
        m_allDaemons.insert(daemon);
    for (int i = 0; i < count; ++i) {
        m_targets.push_back(std::make_unique<Target>());
        m_targets.back()->number = int(m_targets.size());
        startRunner(*m_targets.back());
    }
}

void CrashingTargets::startRunner(Target &target)
{
    const QByteArray id =
        "crashing-" + QByteArray::number(target.number) + '-' + QByteArray::number(++m_starts);
    RunnerEmulator &runner = m_site.addRunner(id, m_service);
    target.runner = &runner;
    runner.setOverride(
        [this, &target](const HttpRequest &request, const RunnerEmulator::Reply &reply) {
            return handle(target, request, reply);
        });
    if (!target.proxy)
        target.proxy = std::make_unique<PartitionProxy>(
            runner.endpoint(), [this](quint16 port, quint16 proxyPort) {
                return m_partitioned.isEmpty()
                    ? 0
                    : test::connectionOwner(port, proxyPort, m_site.processes());
            });
    target.proxy->setTarget(runner.endpoint());
    runner.setAnnounced(target.proxy->endpoint());
    m_site.announce(runner, m_service, "ready");
}

QByteArray CrashingTargets::harmOf(const HttpRequest &request)
{
    if (request.body.startsWith(HarmfulPrefix))
        return request.body;
    QList<QByteArray> parts = request.headers.value("Cranberryquay-Prompt-Prefix").split(',');
    parts.removeLast();
    for (const QByteArray &part : std::as_const(parts)) {
        QByteArray id = part.trimmed().split(':').first();
        if (id.startsWith(HarmfulPart))
            return id;
    }
    return {};
}

bool CrashingTargets::handle(Target &target, const HttpRequest &request,
                             const RunnerEmulator::Reply &reply)
{
    if (request.path.startsWith("/v1/"))
        return false;
    if (target.isDown) {
        target.pending.push_back(reply);
        return true;
    }
    if (m_onRan)
        m_onRan(target.runner->id(), request);
    const bool isFailing = m_isFaulty && target.number % 2 == 0 && ++m_requests % 2 == 0;
    if (isFailing) {
        reply->send({500, target.runner->answerHeaders(request), "failed"});
        return true;
    }
    const bool isGeneration = request.headers.contains("Cranberryquay-Token-Usage");
    const QByteArray harm = harmOf(request);
    if (!harm.isEmpty()) {
        m_harmful[harm].begun.push_back(m_timers.now());
        const bool isPart = harm != request.body;
        if (!isPart || !contains(target.harmful, harm))
            target.harmful.push_back(harm);
        target.pending.push_back(reply);
        if (isGeneration)
            startAnswer(target, request, reply);
        const Milliseconds delay = TimeToCrash + (isGeneration ? m_serviceTime : Milliseconds(0));
        if (!target.crashTimer)
            target.crashTimer = m_timers.after(delay, [this, &target] { crash(target); });
        return true;
    }
    if (isGeneration) {
        startAnswer(target, request, reply);
        generate(target, reply, 1);
        return true;
    }
    const QByteArray id = request.headers.value("Cranberryquay-Request-Id");
    const HttpResponse answer{200, target.runner->answerHeaders(request),
                              "answer to body of " + id};
    QTimer::singleShot(m_serviceTime, &m_timerContext,
                       [&target, reply, answer, start = target.start] {
                           if (!target.isDown && target.start == start)
                               reply->send(answer);
                       });
    return true;
}

void CrashingTargets::startAnswer(Target &target, const HttpRequest &request,
                                  const RunnerEmulator::Reply &reply)
{
    QTimer::singleShot(m_serviceTime, &m_timerContext,
                       [&target, request, reply, start = target.start] {
                           if (target.isDown || target.start != start)
                               return;
                           HttpHeaders headers = target.runner->answerHeaders(request);
                           headers.add("Content-Type", "text/event-stream");
                           reply->startStream(200, headers);
                       });
}

void CrashingTargets::generate(Target &target, const RunnerEmulator::Reply &reply, int event)
{
    const Milliseconds delay = event == 1 ? m_serviceTime + EventInterval : EventInterval;
    QTimer::singleShot(delay, &m_timerContext, [this, &target, reply, event, start = target.start] {
        if (target.isDown || target.start != start)
            return;
        reply->write(RunnerEmulator::event(event));
        if (event < GeneratedEvents)
            generate(target, reply, event + 1);
        else
            reply->end();
    });
}

void CrashingTargets::crash(Target &target)
{
    const MonotonicTime now = m_timers.now();
    for (const QByteArray &body : std::exchange(target.harmful, {}))
        m_harmful[body].crashes.push_back(now);
    target.crashTimer.reset();
    target.isDown = true;
    applyPartition(target);
    if (m_behaviour.form == CrashForm::Refuse)
        target.proxy->stopListeningFor(m_behaviour.downTime);
    const Milliseconds sinceHeartbeat(m_random() % HeartbeatMs);
    const Milliseconds expiry = MissedHeartbeats * Milliseconds(HeartbeatMs) - sinceHeartbeat;
    m_expiryTimers.push_back(m_timers.after(expiry, [this, &target, name = key(target)] {
        const bool isBack = !target.isDown && key(target) == name;
        if (!isBack)
            m_site.store().remove(name);
    }));
    target.returnTimer =
        m_timers.after(m_behaviour.downTime, [this, &target] { comeBack(target); });
}

void CrashingTargets::comeBack(Target &target)
{
    target.isDown = false;
    ++target.start;
    target.pending.clear();
    if (m_behaviour.keepsId) {
        m_site.announce(*target.runner, m_service, "ready");
    } else {
        // The entry of the former start still expires by itself.
        startRunner(target);
    }
    applyPartition(target);
}

void CrashingTargets::applyPartition(Target &target)
{
    if (target.isDown)
        target.proxy->partition(m_allDaemons,
                                m_behaviour.form == CrashForm::Silent ? PartitionForm::Hang
                                                                      : PartitionForm::Reset);
    else
        target.proxy->partition(m_partitioned, m_partitionForm);
}

void CrashingTargets::partition(const QSet<int> &daemons, PartitionForm form)
{
    m_partitioned = daemons;
    m_partitionForm = form;
    for (const auto &target : m_targets)
        applyPartition(*target);
}

void CrashingTargets::crashOthers(int count)
{
    std::vector<Target *> up;
    for (const auto &target : m_targets) {
        if (!target->isDown && !target->crashTimer)
            up.push_back(target.get());
    }
    std::shuffle(up.begin(), up.end(), m_random);
    up.resize(std::min(up.size(), std::size_t(count)));
    for (Target *target : up)
        crash(*target);
}

int CrashingTargets::crashed() const
{
    int count = 0;
    for (const auto &[body, runs] : m_harmful)
        count += int(runs.crashes.size());
    return count;
}

} // namespace cranberry::standin
