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
/// Maximum number of home daemons tried before a request waits: the best one and one other.
constexpr qsizetype MaxHomesTried = 2;

/// Time after which a request without a usable target is refused; most target restarts complete
/// within it.
constexpr Milliseconds NoUsableTargetTimeout{5000};

Error makeError(ErrorKind kind, const QString &detail)
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
    QList<VmId> triedHomes;
    /// Expected wait at each of triedHomes.
    QList<Milliseconds> expectedWaits;
    /// The credit exchange in progress; 0 if none.
    quint64 exchangeId = 0;
    /// The remote home daemon in whose queue the request waits; empty if none.
    VmId waitingAt;
    /// Home daemons that gave no usable answer.
    QList<VmId> unresponsiveHomes;
    /// Time since which no home daemon has answered or been found.
    std::optional<MonotonicTime> noHomeSince;
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
    m_timer = m_timers.every(TickInterval, [this] { handleTick(); });
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
    if (live == m_liveVms)
        return;
    m_liveVms = live;
    m_targets.setMembers(m_self, m_liveVms);
}

bool PlacementRouter::hasHomeDaemons(const AdmissionRequest &request) const
{
    const auto found = m_configuration->services.constFind(request.placement.service);
    return found != m_configuration->services.constEnd() && usesHomeDaemons(*found);
}

void PlacementRouter::enqueue(const AdmissionRequest &request, Callback callback)
{
    if (!hasHomeDaemons(request)) {
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
    if (route && route->exchangeId != 0)
        m_exchange.cancel(route->exchangeId);
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
    if (route->triedHomes.size() < MaxHomesTried) {
        const ServiceConfiguration service = m_configuration->services.value(placement.service);
        home =
            m_targets.suggestHome(placement, service, route->triedHomes + route->unresponsiveHomes,
                                  m_timers.now(), m_random());
    }
    if (!home.isEmpty()) {
        if (home == m_self)
            tryLocalHome(request);
        else
            tryRemoteHome(request, home);
    } else if (!route->triedHomes.isEmpty()) {
        route->noHomeSince.reset();
        waitAtShortestQueue(request);
    } else if (!route->noHomeSince) {
        route->noHomeSince = m_timers.now();
    }
}

void PlacementRouter::tryLocalHome(const RequestId &request)
{
    const std::shared_ptr<Route> route = m_routes.value(request);
    if (const std::optional<TargetId> target = m_queue.placeImmediately(route->request)) {
        completeRoute(request, *target);
        return;
    }
    route->triedHomes.append(m_self);
    route->expectedWaits.append(m_queue.expectedWaitOf(route->request));
    advance(request);
}

void PlacementRouter::tryRemoteHome(const RequestId &request, const VmId &home)
{
    const std::shared_ptr<Route> route = m_routes.value(request);
    route->exchangeId =
        m_exchange.requestCredit(home, CreditRequestKind::Try, route->request,
                                 [this, request, home](const CreditAnswer &answer) {
                                     const std::shared_ptr<Route> current = m_routes.value(request);
                                     if (!current)
                                         return;
                                     current->exchangeId = 0;
                                     if (answer.outcome == CreditOutcome::Granted) {
                                         handleGrant(request, home, answer.target);
                                         return;
                                     }
                                     if (answer.outcome == CreditOutcome::Full) {
                                         current->triedHomes.append(home);
                                         current->expectedWaits.append(answer.expectedWait);
                                     } else {
                                         current->unresponsiveHomes.append(home);
                                     }
                                     advance(request);
                                 });
}

void PlacementRouter::waitAtShortestQueue(const RequestId &request)
{
    const std::shared_ptr<Route> route = m_routes.value(request);
    const auto shortest =
        std::min_element(route->expectedWaits.begin(), route->expectedWaits.end());
    const VmId home = route->triedHomes.at(shortest - route->expectedWaits.begin());
    if (home != m_self) {
        waitAtRemoteHome(request, home, *shortest);
        return;
    }
    m_queue.waitOrRefuse(route->request, [this, request](Result<TargetId> outcome) {
        completeRoute(request, std::move(outcome));
    });
}

void PlacementRouter::waitAtRemoteHome(const RequestId &request, const VmId &home,
                                       Milliseconds expected)
{
    const std::shared_ptr<Route> route = m_routes.value(request);
    if (m_timers.now() + expected >= m_queue.latestStart(route->request)) {
        m_queue.requestEnded(request);
        completeRoute(request, m_queue.deadlineTooShortError(route->request, expected));
        return;
    }
    route->waitingAt = home;
    route->exchangeId =
        m_exchange.requestCredit(home, CreditRequestKind::Wait, route->request,
                                 [this, request, home](const CreditAnswer &answer) {
                                     const std::shared_ptr<Route> current = m_routes.value(request);
                                     if (!current)
                                         return;
                                     current->exchangeId = 0;
                                     current->waitingAt = VmId();
                                     if (answer.outcome == CreditOutcome::Granted) {
                                         handleGrant(request, home, answer.target);
                                     } else if (answer.outcome == CreditOutcome::Refused) {
                                         m_queue.requestEnded(request);
                                         completeRoute(request, answer.error);
                                     } else {
                                         restartRoute(request);
                                     }
                                 });
}

void PlacementRouter::restartRoute(const RequestId &request)
{
    const std::shared_ptr<Route> route = m_routes.value(request);
    route->exchangeId = 0;
    route->waitingAt = VmId();
    route->triedHomes.clear();
    route->expectedWaits.clear();
    route->unresponsiveHomes.clear();
    advance(request);
}

void PlacementRouter::handleGrant(const RequestId &request, const VmId &home,
                                  const TargetId &target)
{
    const std::shared_ptr<Route> route = m_routes.value(request);
    m_queue.recordGrantedAttempt(
        route->request, target,
        [exchange = &m_exchange, home, sent = route->request] { exchange->release(home, sent); });
    completeRoute(request, target);
}

void PlacementRouter::completeRoute(const RequestId &request, Result<TargetId> outcome)
{
    const std::shared_ptr<Route> route = m_routes.take(request);
    if (route)
        route->callback(std::move(outcome));
}

// A failed home daemon answers none of the requests in its queue. They are routed again as soon as
// the member view shows the failure, instead of failing at their deadlines.
void PlacementRouter::handleTick()
{
    refreshMembers();
    const MonotonicTime now = m_timers.now();
    const QList<RequestId> requests = m_routes.keys();
    for (const RequestId &request : requests) {
        const std::shared_ptr<Route> route = m_routes.value(request);
        if (!route)
            continue;
        if (!route->waitingAt.isEmpty() && !m_liveVms.contains(route->waitingAt)) {
            m_exchange.cancel(route->exchangeId);
            restartRoute(request);
        } else if (route->noHomeSince && now >= route->request.deadline) {
            m_queue.requestEnded(request);
            completeRoute(
                request,
                makeError(ErrorKind::DeadlineExceeded,
                          QStringLiteral("No usable target was found before the deadline.")));
        } else if (route->noHomeSince && now - *route->noHomeSince >= NoUsableTargetTimeout) {
            m_queue.requestEnded(request);
            completeRoute(
                request,
                makeError(ErrorKind::NoTarget,
                          QStringLiteral("No target that serves the request is usable.")));
        } else if (route->noHomeSince && route->exchangeId == 0) {
            restartRoute(request);
        }
    }
}

} // namespace cranberry
