#include "standins/users/BusyTargets.h"

#include "http/CallerReply.h"
#include "http/HttpResponse.h"
#include "standins/users/RetryChecks.h"

#include <QTimer>

namespace cranberry::standin {

namespace {

constexpr double MillisecondsPerSecond = 1000;

} // namespace

BusyTargets::BusyTargets(test::PlatformSite &site, QByteArray service, const BusyTargetPlan &plan)
    : m_site(site)
    , m_service(std::move(service))
    , m_plan(plan)
{
}

BusyTargets::~BusyTargets() = default;

void BusyTargets::add(double speed)
{
    m_targets.push_back(std::make_unique<Target>());
    Target &target = *m_targets.back();
    target.speed = speed;
    const QByteArray id = m_service + "-busy-" + QByteArray::number(int(m_targets.size()));
    target.runner = &m_site.addRunner(id, m_service);
    target.runner->setSlots(m_plan.slotCount);
    target.runner->setRoom(m_plan.slotCount);
    target.runner->setGeneration(m_plan.events,
                                 std::chrono::duration_cast<Milliseconds>(m_plan.interval / speed));
    target.runner->onRan([this](const HttpRequest &) { ++m_served; });
    target.runner->setOverride(
        [this, &target](const HttpRequest &request, const RunnerEmulator::Reply &reply) {
            return handle(target, request, reply);
        });
    m_site.announce(*target.runner, m_service, "ready");
}

double BusyTargets::capacity() const
{
    const bool isModel = m_service == "model";
    const double milliseconds = isModel ? double((m_plan.interval * m_plan.events).count())
                                        : double(m_plan.service.count());
    double perSecond = 0;
    for (const auto &target : m_targets)
        perSecond += target->speed * m_plan.slotCount * MillisecondsPerSecond / milliseconds;
    return perSecond;
}

bool BusyTargets::handle(Target &target, const HttpRequest &request,
                         const RunnerEmulator::Reply &reply)
{
    if (request.path.startsWith("/v1/") || request.headers.contains("Cranberryquay-Token-Usage"))
        return false;
    if (target.running < m_plan.slotCount) {
        begin(target, {request, reply});
    } else if (target.queue.size() < m_plan.queue) {
        target.queue.append({request, reply});
    } else {
        ++m_rejected;
        reply->send(refusalAnswer(request));
    }
    return true;
}

void BusyTargets::begin(Target &target, const Request &request)
{
    ++target.running;
    ++m_served;
    m_onServed(request.request);
    const auto time = std::chrono::duration_cast<Milliseconds>(m_plan.service / target.speed);
    QTimer::singleShot(time, Qt::PreciseTimer, &m_timerContext, [this, &target, request] {
        request.reply->send({200, target.runner->answerHeaders(request.request), "answer"});
        --target.running;
        if (!target.queue.isEmpty())
            begin(target, target.queue.takeFirst());
    });
}

} // namespace cranberry::standin
