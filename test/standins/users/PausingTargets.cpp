#include "standins/users/PausingTargets.h"

#include "http/CallerReply.h"
#include "http/HttpResponse.h"

#include <QTimer>

#include <algorithm>
#include <cmath>

namespace cranberry::standin {

namespace {

constexpr int AnswersPerSuccess = 3;
const QByteArray IdHeader = "Cranberryquay-Request-Id";
const QByteArray LeavingHeader = "Server-Leaving";

/// Zero if @p value asks for nothing that the rules count.
Milliseconds durationOf(const QByteArray &value)
{
    bool isNumber = false;
    const double seconds = value.toDouble(&isNumber);
    const bool isPause = isNumber && std::isfinite(seconds) && seconds > 0;
    return isPause ? Milliseconds(qint64(seconds * 1000)) : Milliseconds(0);
}

} // namespace

PausingTargets::PausingTargets(test::PlatformSite &site, QByteArray service, quint32 seed)
    : m_site(site)
    , m_service(std::move(service))
    , m_random(seed)
{
}

PausingTargets::~PausingTargets() = default;

void PausingTargets::add(int count)
{
    for (int i = 0; i < count; ++i) {
        m_targets.push_back(std::make_unique<Target>());
        Target &target = *m_targets.back();
        target.number = int(m_targets.size());
        target.runner = &m_site.addRunner(
            m_service + "-pausing-" + QByteArray::number(target.number), m_service);
        target.runner->setBorn(target.born);
        target.runner->setOverride(
            [this, &target](const HttpRequest &request, const RunnerEmulator::Reply &reply) {
                return handle(target, request, reply);
            });
        announce(target);
    }
}

void PausingTargets::announce(const Target &target)
{
    m_site.announce(*target.runner, m_service, "ready");
}

void PausingTargets::start(int targets, const PauseBehaviour &behaviour)
{
    m_behaviour = behaviour;
    m_inTrouble = targets;
    for (int i = 0; i < targets; ++i)
        m_targets[size_t(i)]->runner->setOverridesReports(behaviour.hasReports);
}

void PausingTargets::leave(int targets, LeavingForm form)
{
    m_leavingForm = form;
    for (int i = 0; i < targets; ++i) {
        m_targets[size_t(i)]->isLeaving = true;
        m_targets[size_t(i)]->runner->setOverridesReports(form == LeavingForm::Report);
    }
}

void PausingTargets::startAgain(int number)
{
    Target &target = *m_targets[size_t(number)];
    m_checks.restarted(target.runner->id(), m_timers.now());
    target.isLeaving = false;
    target.pausedUntil.clear();
    target.runner->startAgain(++target.born);
    announce(target);
}

void PausingTargets::exchangeAddress(int number)
{
    Target &target = *m_targets[size_t(number)];
    const HttpEndpoint address = target.runner->endpoint();
    m_checks.restarted(target.runner->id(), m_timers.now());
    m_site.store().remove(QStringLiteral("servers/") + QString::fromLatin1(target.runner->id()));
    target.runner->setId(target.runner->id() + "-next");
    target.pausedUntil.clear();
    target.runner->setAnnounced(address);
    announce(target);
}

void PausingTargets::setEntry(int number, bool exists)
{
    const Target &target = *m_targets[size_t(number)];
    if (exists)
        announce(target);
    else
        m_site.store().remove(QStringLiteral("servers/")
                              + QString::fromLatin1(target.runner->id()));
}

Milliseconds PausingTargets::untilFirstResumes(int daemon, MonotonicTime known) const
{
    Milliseconds first = Milliseconds::max();
    const MonotonicTime now = m_timers.now();
    for (const auto &target : m_targets) {
        const auto paused = target->pausedUntil.find(daemon);
        const bool isPaused = paused != target->pausedUntil.end() && paused->second > now
            && target->pausedSince.at(daemon) <= known;
        first = std::min(first,
                         isPaused ? std::chrono::duration_cast<Milliseconds>(paused->second - now)
                                  : Milliseconds(0));
    }
    return first;
}

bool PausingTargets::handle(Target &target, const HttpRequest &request,
                            const RunnerEmulator::Reply &reply)
{
    const QByteArray id = request.headers.value(IdHeader);
    if (!id.isEmpty()) {
        ++target.received;
        m_checks.received(target.runner->id(), id, m_timers.now());
    }
    const bool isReport = request.path == "/v1/report";
    const bool isReservation = request.path == "/v1/hold-take";
    const bool isOther = request.path.startsWith("/v1/") && !isReport
        && !(isReservation && m_behaviour.hasReservations && target.number <= m_inTrouble);
    if (isOther)
        return false;
    const int spread = int((m_behaviour.maxDelay - m_behaviour.minDelay).count());
    const Milliseconds delay = target.number > m_inTrouble
        ? Milliseconds(0)
        : m_behaviour.minDelay + Milliseconds(spread > 0 ? int(m_random() % quint32(spread)) : 0);
    if (delay.count() == 0)
        answer(target, request, reply);
    else
        QTimer::singleShot(delay, &m_timerContext,
                           [this, &target, request, reply] { answer(target, request, reply); });
    return true;
}

void PausingTargets::answer(Target &target, const HttpRequest &request,
                            const RunnerEmulator::Reply &reply)
{
    const QByteArray id = request.headers.value(IdHeader);
    if (request.path == "/v1/report") {
        HttpHeaders headers;
        if (target.number <= m_inTrouble && m_behaviour.hasReports)
            headers.add("Retry-After", m_behaviour.values.first());
        if (target.isLeaving)
            sayLeaving(target, ReportId, headers);
        reply->send({target.isLeaving ? 200 : 503, headers,
                     R"({"queued":0,"running":0,"kvUsed":0,"kvTotal":100000})"});
        return;
    }
    if (target.number <= m_inTrouble && reject(target, request, reply))
        return;
    if (!target.isLeaving || m_leavingForm == LeavingForm::Success
        || m_leavingForm == LeavingForm::Report) {
        serve(target, request, reply);
        return;
    }
    HttpHeaders headers = rejectionHeaders(target, request);
    sayLeaving(target, id, headers);
    if (m_leavingForm == LeavingForm::Error) {
        headers = target.runner->answerHeaders(request);
        headers.add(LeavingHeader, "1");
        reply->send({500, headers, "failed"});
    } else if (m_leavingForm == LeavingForm::Misdirected) {
        headers.add("Cranberryquay-Instance-Id", target.runner->id());
        reply->send({421, headers, {}});
    } else {
        reply->send({503, headers, {}});
    }
}

HttpHeaders PausingTargets::rejectionHeaders(const Target &target, const HttpRequest &request) const
{
    Q_UNUSED(target)
    return {{IdHeader, request.headers.value(IdHeader)}, {"Cranberryquay-Not-Executed", "1"}};
}

void PausingTargets::sayLeaving(const Target &target, const QByteArray &id, HttpHeaders &headers)
{
    headers.add(LeavingHeader, "1");
    m_checks.saidLeaving(target.runner->id(), id, m_timers.now());
}

bool PausingTargets::reject(Target &target, const HttpRequest &request,
                            const RunnerEmulator::Reply &reply)
{
    const QByteArray id = request.headers.value(IdHeader);
    const int daemon = m_checks.daemonOf(id);
    const MonotonicTime now = m_timers.now();
    HttpHeaders headers = rejectionHeaders(target, request);
    if (now < target.pausedUntil[daemon]) {
        reply->send({503, headers, {}});
        return true;
    }
    if (++target.decided % AnswersPerSuccess == 0)
        return false;
    const bool hasValues = !m_behaviour.values.isEmpty();
    const QByteArray value =
        hasValues ? m_behaviour.values.value(m_nextValue++ % m_behaviour.values.size()) : "";
    const Milliseconds duration = durationOf(value);
    if (hasValues)
        headers.add("Retry-After", value);
    // A reservation has no id, so that its daemon is not known.
    if (duration.count() > 0 && daemon >= 0) {
        m_checks.paused(target.runner->id(), id, duration, now);
        target.pausedSince[daemon] = now;
        target.pausedUntil[daemon] = now + duration;
    }
    reply->send({503, headers, {}});
    return true;
}

void PausingTargets::serve(Target &target, const HttpRequest &request,
                           const RunnerEmulator::Reply &reply)
{
    const QByteArray id = request.headers.value(IdHeader);
    if (request.path.startsWith("/v1/")) {
        reply->send({200, {}, R"({"hold":"room"})"});
        return;
    }
    ++target.served;
    if (m_onRan)
        m_onRan(target.runner->id(), request);
    HttpHeaders headers = target.runner->answerHeaders(request);
    if (target.isLeaving && m_leavingForm == LeavingForm::Success)
        sayLeaving(target, id, headers);
    if (!request.headers.contains("Cranberryquay-Token-Usage")) {
        reply->send({200, headers, "answer to " + request.body});
        return;
    }
    headers.add("Content-Type", "text/event-stream");
    reply->startStream(200, headers);
    for (int event = 1; event <= 3; ++event)
        reply->write(RunnerEmulator::event(event));
    reply->end();
}

} // namespace cranberry::standin
