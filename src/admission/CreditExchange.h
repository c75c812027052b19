#pragma once

#include "admission/CreditMessages.h"
#include "base/TimerService.h"

#include <QHash>

#include <functional>
#include <memory>

namespace cranberry {

class AdmissionQueue;
class PeerNetwork;

/// Requests capacity from the home daemons of targets and answers such requests. Lost messages
/// cause delay but no incorrect results: an exchange without an answer is reported as Lost, and
/// unused grants are released with the next load report.
/// Thread safety: only from the thread of the timer service.
class CreditExchange
{
public:
    using Callback = std::function<void(const CreditAnswer &)>;

    /// Subscribes to CreditRequest and CreditAnswer messages.
    /// Precondition: @p timers, @p network and @p queue outlive the exchange.
    CreditExchange(TimerService &timers, PeerNetwork &network, AdmissionQueue &queue);
    ~CreditExchange();
    CreditExchange(const CreditExchange &) = delete;
    CreditExchange &operator=(const CreditExchange &) = delete;

    /// Sends a credit request to @p home and returns the id of the exchange. @p callback is called
    /// exactly once, after this call returns, unless cancel() is called first. Precondition: @p
    /// kind is Try or Wait.
    quint64 requestCredit(const VmId &home, CreditRequestKind kind, const AdmissionRequest &request,
                          Callback callback);

    /// Ends the exchange without calling its callback and notifies the home daemon; ignored if
    /// unknown.
    void cancel(quint64 exchangeId);

    /// Notifies @p home that the send of @p request, which it granted, has ended.
    void release(const VmId &home, const AdmissionRequest &request);

private:
    struct Pending;

    void handleAnswer(const QCborMap &body);
    void handleRequest(const VmId &from, const QCborMap &body);
    void sendAnswer(const VmId &to, const CreditAnswer &answer);
    void handleTimeout(quint64 exchangeId);

    TimerService &m_timers;
    PeerNetwork &m_network;
    AdmissionQueue &m_queue;
    QHash<quint64, std::shared_ptr<Pending>> m_pending;
    quint64 m_lastExchangeId = 0;
    /// Callbacks of the queue may outlive this object; they hold a weak pointer to this flag.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace cranberry
