#include "admission/CreditExchange.h"

#include "admission/AdmissionQueue.h"
#include "base/TimerSubscription.h"
#include "peer/PeerNetwork.h"

namespace cranberry {

namespace {

/// A home daemon normally answers within a few milliseconds; a slower one is not waited for.
constexpr Milliseconds TryTimeout{100};
/// Added to the deadline, so that a refusal by the home daemon arrives before the timeout.
constexpr Milliseconds WaitTimeoutMargin{500};

Milliseconds timeLeft(const AdmissionRequest &request, MonotonicTime now)
{
    const auto left = std::chrono::duration_cast<Milliseconds>(request.deadline - now);
    return std::max(left, Milliseconds(0));
}

} // namespace

struct CreditExchange::Pending {
    VmId home;
    AdmissionRequest request;
    Callback callback;
    std::unique_ptr<TimerSubscription> timeout;
};

CreditExchange::CreditExchange(TimerService &timers, PeerNetwork &network, AdmissionQueue &queue)
    : m_timers(timers)
    , m_network(network)
    , m_queue(queue)
{
    m_network.subscribe(
        PeerMessageKind::CreditRequest,
        [this](const VmId &from, const QCborMap &body) { handleRequest(from, body); });
    m_network.subscribe(PeerMessageKind::CreditAnswer,
                        [this](const VmId &, const QCborMap &body) { handleAnswer(body); });
}

CreditExchange::~CreditExchange() = default;

quint64 CreditExchange::requestCredit(const VmId &home, CreditRequestKind kind,
                                      const AdmissionRequest &request, Callback callback)
{
    const quint64 exchangeId = ++m_lastExchangeId;
    const Milliseconds left = timeLeft(request, m_timers.now());
    auto pending = std::make_shared<Pending>();
    pending->home = home;
    pending->request = request;
    pending->callback = std::move(callback);
    const bool sent = m_network.send(home, PeerMessageKind::CreditRequest,
                                     toCbor(CreditRequest{exchangeId, kind, request, left}));
    const Milliseconds limit =
        kind == CreditRequestKind::Try ? TryTimeout : left + WaitTimeoutMargin;
    pending->timeout = m_timers.after(sent ? limit : Milliseconds(0),
                                      [this, exchangeId] { handleTimeout(exchangeId); });
    m_pending.insert(exchangeId, pending);
    return exchangeId;
}

void CreditExchange::cancel(quint64 exchangeId)
{
    const std::shared_ptr<Pending> pending = m_pending.take(exchangeId);
    if (!pending)
        return;
    release(pending->home, pending->request);
}

void CreditExchange::release(const VmId &home, const AdmissionRequest &request)
{
    m_network.send(home, PeerMessageKind::CreditRequest,
                   toCbor(CreditRequest{0, CreditRequestKind::Done, request, Milliseconds(0)}));
}

void CreditExchange::handleTimeout(quint64 exchangeId)
{
    const std::shared_ptr<Pending> pending = m_pending.take(exchangeId);
    if (!pending)
        return;
    // The home daemon may have granted the request if its answer was lost or is late.
    release(pending->home, pending->request);
    CreditAnswer answer;
    answer.exchangeId = exchangeId;
    pending->callback(answer);
}

void CreditExchange::handleAnswer(const QCborMap &body)
{
    const std::optional<CreditAnswer> answer = creditAnswerFromCbor(body);
    if (!answer)
        return;
    const std::shared_ptr<Pending> pending = m_pending.take(answer->exchangeId);
    if (pending)
        pending->callback(*answer);
}

void CreditExchange::handleRequest(const VmId &from, const QCborMap &body)
{
    const std::optional<CreditRequest> message = creditRequestFromCbor(body);
    if (!message)
        return;
    AdmissionRequest request = message->request;
    if (message->kind == CreditRequestKind::Done) {
        m_queue.cancel(request.placement.request);
        m_queue.grantEnded(request.placement.request);
        return;
    }
    request.deadline = m_timers.now() + message->timeLeft;
    CreditAnswer reply;
    reply.exchangeId = message->exchangeId;
    if (m_queue.admit(request)) {
        reply.outcome = CreditOutcome::NotServed;
        sendAnswer(from, reply);
        return;
    }
    if (const std::optional<TargetId> target = m_queue.placeImmediately(request)) {
        reply.outcome = CreditOutcome::Granted;
        reply.target = *target;
        sendAnswer(from, reply);
        return;
    }
    if (message->kind == CreditRequestKind::Try) {
        reply.outcome = CreditOutcome::Full;
        reply.expectedWait = m_queue.expectedWaitOf(request);
        sendAnswer(from, reply);
        return;
    }
    const std::weak_ptr<bool> alive = m_alive;
    m_queue.waitOrRefuse(
        request, [this, alive, from, reply](const Result<TargetId> &result) mutable {
            if (alive.expired())
                return;
            reply.outcome = result.has_value() ? CreditOutcome::Granted : CreditOutcome::Refused;
            if (result.has_value())
                reply.target = result.value();
            else
                reply.error = result.error();
            sendAnswer(from, reply);
        });
}

void CreditExchange::sendAnswer(const VmId &to, const CreditAnswer &answer)
{
    m_network.send(to, PeerMessageKind::CreditAnswer, toCbor(answer));
}

} // namespace cranberry
