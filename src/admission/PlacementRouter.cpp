#include "admission/PlacementRouter.h"

#include "admission/AdmissionQueue.h"
#include "admission/CreditExchange.h"
#include "base/TimerSubscription.h"
#include "membership/MemberView.h"
#include "placement/PlacementPolicy.h"
#include "placement/TargetTable.h"

#include <algorithm>

namespace cranberry {

namespace {

constexpr Milliseconds TickInterval{100};
/// Homes that are asked before a request waits: the best looking and one other.
constexpr qsizetype HomesTried = 2;

/// A target that restarts is back within this time more often than not.
constexpr Milliseconds NoneUsableGrace{5000};

Error errorOf(ErrorKind kind, const QString &detail)
{
    Error error;
    error.kind = kind;
    error.detail = detail;
    return error;
}

} // namespace

struct PlacementRouter::Route {
    AdmissionRequest request;
    Callback callback;
    QList<VmId> tried;
    /// Expected wait at each home tried.
    QList<Milliseconds> waits;
    /// The ask under way; 0 if none.
    quint64 ask = 0;
    /// The other daemon in whose queue it waits.
    VmId waitsAt;
    /// Homes that were asked and did not answer.
    QList<VmId> silent;
    /// Since when no home has answered, or none was found.
    std::optional<MonotonicTime> unansweredSince;
};

PlacementRouter::PlacementRouter(TimerService &timers, TargetTable &targets, AdmissionQueue &queue,
                                 CreditExchange &exchange, const MemberView &members,
                                 RandomSource random)
    : m_timers(timers)
    , m_targets(targets)
    , m_queue(queue)
    , m_exchange(exchange)
    , m_members(members)
    , m_random(std::move(random))
    , m_configuration(std::make_shared<const Configuration>())
    , m_self(members.self())
{
    refreshMembers();
    m_timer = m_timers.every(TickInterval, [this] { tick(); });
}

PlacementRouter::~PlacementRouter() = default;

void PlacementRouter::setConfiguration(std::shared_ptr<const Configuration> configuration)
{
    m_configuration = configuration;
    m_queue.setConfiguration(std::move(configuration));
}

void PlacementRouter::refreshMembers()
{
    QList<VmId> live;
    for (const Member &member : m_members.liveMembers())
        live.append(member.vm);
    if (live == m_live)
        return;
    m_live = live;
    m_targets.setMembers(m_self, m_live);
}

bool PlacementRouter::hasHomes(const AdmissionRequest &request) const
{
    const auto found = m_configuration->services.constFind(request.placement.service);
    return found != m_configuration->services.constEnd() && givenOutByHomes(*found);
}

void PlacementRouter::enqueue(const AdmissionRequest &request, Callback callback)
{
    if (!hasHomes(request)) {
        m_queue.enqueue(request, std::move(callback));
        return;
    }
    if (const std::optional<Error> error = m_queue.admit(request)) {
        callback(*error);
        return;
    }
    auto route = std::make_shared<Route>();
    route->request = request;
    route->callback = std::move(callback);
    m_routes.insert(request.placement.request, route);
    advance(request.placement.request);
}

void PlacementRouter::cancel(const RequestId &request)
{
    const std::shared_ptr<Route> route = m_routes.take(request);
    if (route && route->ask != 0)
        m_exchange.cancel(route->ask);
    m_queue.cancel(request);
    if (route)
        m_queue.requestEnded(request);
}

void PlacementRouter::advance(const RequestId &request)
{
    const std::shared_ptr<Route> route = m_routes.value(request);
    if (!route)
        return;
    const PlacementRequest &placement = route->request.placement;
    VmId home;
    if (route->tried.size() < HomesTried) {
        const ServiceConfiguration service = m_configuration->services.value(placement.service);
        home = m_targets.suggestHome(placement, service, route->tried + route->silent,
                                     m_timers.now(), m_random());
    }
    if (!home.isEmpty()) {
        if (home == m_self)
            tryOwn(request);
        else
            tryOther(request, home);
    } else if (!route->tried.isEmpty()) {
        route->unansweredSince.reset();
        waitWhereShortest(request);
    } else if (!route->unansweredSince) {
        route->unansweredSince = m_timers.now();
    }
}

void PlacementRouter::tryOwn(const RequestId &request)
{
    const std::shared_ptr<Route> route = m_routes.value(request);
    if (const std::optional<TargetId> target = m_queue.tryNow(route->request)) {
        finish(request, *target);
        return;
    }
    route->tried.append(m_self);
    route->waits.append(m_queue.expectedWaitOf(route->request));
    advance(request);
}

void PlacementRouter::tryOther(const RequestId &request, const VmId &home)
{
    const std::shared_ptr<Route> route = m_routes.value(request);
    route->ask = m_exchange.ask(home, CreditRequestKind::Try, route->request,
                                [this, request, home](const CreditAnswer &answer) {
                                    const std::shared_ptr<Route> waiting = m_routes.value(request);
                                    if (!waiting)
                                        return;
                                    waiting->ask = 0;
                                    if (answer.outcome == CreditOutcome::Granted) {
                                        granted(request, home, answer.target);
                                        return;
                                    }
                                    if (answer.outcome == CreditOutcome::Full) {
                                        waiting->tried.append(home);
                                        waiting->waits.append(answer.expectedWait);
                                    } else {
                                        waiting->silent.append(home);
                                    }
                                    advance(request);
                                });
}

void PlacementRouter::waitWhereShortest(const RequestId &request)
{
    const std::shared_ptr<Route> route = m_routes.value(request);
    const auto shortest = std::min_element(route->waits.begin(), route->waits.end());
    const VmId home = route->tried.at(shortest - route->waits.begin());
    if (home != m_self) {
        waitAtOther(request, home, *shortest);
        return;
    }
    m_queue.waitTurn(route->request, [this, request](Result<TargetId> outcome) {
        finish(request, std::move(outcome));
    });
}

void PlacementRouter::waitAtOther(const RequestId &request, const VmId &home, Milliseconds expected)
{
    const std::shared_ptr<Route> route = m_routes.value(request);
    if (m_timers.now() + expected >= m_queue.latestStart(route->request)) {
        m_queue.requestEnded(request);
        finish(request, m_queue.tooShort(route->request, expected));
        return;
    }
    route->waitsAt = home;
    route->ask = m_exchange.ask(home, CreditRequestKind::Wait, route->request,
                                [this, request, home](const CreditAnswer &answer) {
                                    const std::shared_ptr<Route> waiting = m_routes.value(request);
                                    if (!waiting)
                                        return;
                                    waiting->ask = 0;
                                    waiting->waitsAt = VmId();
                                    if (answer.outcome == CreditOutcome::Granted) {
                                        granted(request, home, answer.target);
                                    } else if (answer.outcome == CreditOutcome::Refused) {
                                        m_queue.requestEnded(request);
                                        finish(request, answer.error);
                                    } else {
                                        startAnew(request);
                                    }
                                });
}

void PlacementRouter::startAnew(const RequestId &request)
{
    const std::shared_ptr<Route> route = m_routes.value(request);
    route->ask = 0;
    route->waitsAt = VmId();
    route->tried.clear();
    route->waits.clear();
    route->silent.clear();
    advance(request);
}

void PlacementRouter::granted(const RequestId &request, const VmId &home, const TargetId &target)
{
    const std::shared_ptr<Route> route = m_routes.value(request);
    m_queue.recordGranted(
        route->request, target,
        [exchange = &m_exchange, home, sent = route->request] { exchange->release(home, sent); });
    finish(request, target);
}

void PlacementRouter::finish(const RequestId &request, Result<TargetId> outcome)
{
    const std::shared_ptr<Route> route = m_routes.take(request);
    if (route)
        route->callback(std::move(outcome));
}

// A home that died with requests in its queue answers none of them; they are routed anew as
// soon as the member view shows it, instead of at their deadlines.
void PlacementRouter::tick()
{
    refreshMembers();
    const MonotonicTime now = m_timers.now();
    const QList<RequestId> requests = m_routes.keys();
    for (const RequestId &request : requests) {
        const std::shared_ptr<Route> route = m_routes.value(request);
        if (!route)
            continue;
        if (!route->waitsAt.isEmpty() && !m_live.contains(route->waitsAt)) {
            m_exchange.cancel(route->ask);
            startAnew(request);
        } else if (route->unansweredSince && now >= route->request.deadline) {
            m_queue.requestEnded(request);
            finish(request,
                   errorOf(ErrorKind::DeadlineExceeded,
                           QStringLiteral("No target came before the deadline.")));
        } else if (route->unansweredSince && now - *route->unansweredSince >= NoneUsableGrace) {
            m_queue.requestEnded(request);
            finish(request,
                   errorOf(ErrorKind::NoTarget,
                           QStringLiteral("No target that serves it is usable.")));
        } else if (route->unansweredSince && route->ask == 0) {
            startAnew(request);
        }
    }
}

} // namespace cranberry
