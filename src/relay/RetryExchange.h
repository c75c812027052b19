#pragma once

#include "base/Ids.h"

#include <functional>

class QCborArray;

namespace cranberry {

class PeerDatagrams;
class PeerDirectory;
class RelayRetryBudget;
class TimerService;
struct Peer;

/// Lets daemons lend each other units of the retry budget. A daemon that is short of units asks
/// some of the daemons that it exchanges messages with: all in a small fleet, else those of its
/// data centre. Datagrams may be lost, late or doubled; the lender gives up what it lends before it
/// answers.
/// Thread safety: only from the thread of the event loop.
class RetryExchange
{
public:
    /// Precondition: everything passed outlives the exchange. @p isKnown returns whether a service
    /// exists.
    RetryExchange(TimerService &timers, PeerDirectory &peers, PeerDatagrams &datagrams,
                  RelayRetryBudget &budget, std::function<bool(const ServiceId &)> isKnown);

private:
    void ask(const ServiceId &service, int number, int wanted);
    void handleMessage(const Peer &from, const QCborArray &body);

    TimerService &m_timers;
    PeerDirectory &m_peers;
    PeerDatagrams &m_datagrams;
    RelayRetryBudget &m_budget;
    std::function<bool(const ServiceId &)> m_isKnown;
};

} // namespace cranberry
