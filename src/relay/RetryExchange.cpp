#include "relay/RetryExchange.h"

#include "base/TimerService.h"
#include "relay/PeerDatagrams.h"
#include "relay/PeerDirectory.h"
#include "relay/RelayRetryBudget.h"

#include <QCborArray>
#include <QRandomGenerator>

#include <algorithm>
#include <limits>

namespace cranberry {

namespace {

/// Messages; the number is the first element.
enum class RetryMessageKind {
    /// Service, number of the ask, units wanted.
    Ask,
    /// Service, number of the ask, units lent.
    Grant,
};

/// Number of daemons that are asked at a time: about one for each unit, as shares are small.
constexpr int MinLendersAsked = 3;
constexpr int MaxLendersAsked = 16;
constexpr qint64 MaxUnitsLent = 100;

} // namespace

RetryExchange::RetryExchange(TimerService &timers, PeerDirectory &peers, PeerDatagrams &datagrams,
                             RelayRetryBudget &budget,
                             std::function<bool(const ServiceId &)> isKnown)
    : m_timers(timers)
    , m_peers(peers)
    , m_datagrams(datagrams)
    , m_budget(budget)
    , m_isKnown(std::move(isKnown))
{
    datagrams.onMessage(DatagramKind::Retry, [this](const Peer &from, const QCborArray &body) {
        handleMessage(from, body);
    });
    budget.onAsk(
        [this](const ServiceId &service, int number, int wanted) { ask(service, number, wanted); });
}

void RetryExchange::ask(const ServiceId &service, int number, int wanted)
{
    QList<Peer> lenders = m_peers.directReceivers();
    lenders.removeIf([this](const Peer &peer) { return !m_peers.isRecentlyHeard(peer); });
    const int units = std::min(wanted, int(MaxUnitsLent));
    const QCborArray body{int(RetryMessageKind::Ask), service.text(), number, units};
    const int asked = std::clamp(wanted, MinLendersAsked, MaxLendersAsked);
    for (int count = 0; count < asked && !lenders.isEmpty(); ++count) {
        const int chosen = QRandomGenerator::global()->bounded(int(lenders.size()));
        m_datagrams.send({lenders.takeAt(chosen)}, DatagramKind::Retry, body);
    }
}

void RetryExchange::handleMessage(const Peer &from, const QCborArray &body)
{
    const ServiceId service(body.at(1).toString());
    const qint64 number = body.at(2).toInteger(-1);
    const qint64 units = body.at(3).toInteger(-1);
    const bool isNumber = number >= 0 && number <= std::numeric_limits<int>::max();
    if (!isNumber || units <= 0 || units > MaxUnitsLent || !m_isKnown(service))
        return;
    const qint64 kind = body.at(0).toInteger(-1);
    if (kind == qint64(RetryMessageKind::Grant)) {
        m_budget.addBorrowed(service, from.vm, int(number), int(units));
    } else if (kind == qint64(RetryMessageKind::Ask)) {
        const int lent = m_budget.lend(service, int(units), m_timers.now());
        if (lent > 0)
            m_datagrams.send(
                {from}, DatagramKind::Retry,
                QCborArray{int(RetryMessageKind::Grant), service.text(), number, lent});
    }
}

} // namespace cranberry
