// Defines CreditExchange, which asks other daemons for room on their targets and answers them.
#pragma once

#include "admission/CreditMessages.h"
#include "base/TimerService.h"

#include <QHash>

#include <functional>
#include <memory>

namespace cranberry {

class AdmissionQueue;
class PeerNetwork;

/// A lost message costs time, never correctness: an ask that gets no answer is reported Lost,
/// and room that was granted in vain is free again with the next load report.
/// Thread safety: only from the thread of the timer service.
class CreditExchange
{
public:
    using Callback = std::function<void(const CreditAnswer &)>;

    /// Subscribes to CreditRequest and CreditAnswer.
    /// Precondition: all three outlive the exchange.
    CreditExchange(TimerService &timers, PeerNetwork &network, AdmissionQueue &queue);
    ~CreditExchange();
    CreditExchange(const CreditExchange &) = delete;
    CreditExchange &operator=(const CreditExchange &) = delete;

    /// Asks @p home and returns the number of the ask. @p callback is called exactly once,
    /// later, unless cancel() comes first. Precondition: @p kind is Try or Wait.
    quint64 ask(const VmId &home, CreditRequestKind kind, const AdmissionRequest &request,
                Callback callback);

    /// Ends @p ask without a callback and tells the home; ignored if unknown.
    void cancel(quint64 ask);

    /// Tells @p home that the send of @p request, which it granted, has ended.
    void release(const VmId &home, const AdmissionRequest &request);

private:
    struct Pending;

    void answered(const QCborMap &body);
    void asked(const VmId &from, const QCborMap &body);
    void answer(const VmId &to, const CreditAnswer &answer);
    void lost(quint64 ask);

    TimerService &m_timers;
    PeerNetwork &m_network;
    AdmissionQueue &m_queue;
    QHash<quint64, std::shared_ptr<Pending>> m_pending;
    quint64 m_lastAsk = 0;
    /// Callbacks of the queue may outlive the exchange; they hold this weakly.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace cranberry
