#include "relay/DemandExchange.h"

#include "base/TimerService.h"
#include "base/TimerSubscription.h"
#include "relay/PeerDatagrams.h"
#include "relay/PeerDirectory.h"

#include <QCborArray>

#include <algorithm>

namespace cranberry {

namespace {

constexpr Milliseconds MinInterval{50};
/// Bounds what one daemon sends to 500 datagrams a second.
constexpr Milliseconds IntervalPerReceiver{2};
/// What waits is repeated after 4 ms for each receiver, between these limits.
constexpr Milliseconds MinRepeatInterval{150};
constexpr Milliseconds MaxRepeatInterval{400};
constexpr Milliseconds RepeatIntervalPerReceiver{4};

} // namespace

DemandExchange::DemandExchange(TimerService &timers, const PeerDirectory &peers,
                               PeerDatagrams &datagrams, Reports reports, Receive receive)
    : m_timers(timers)
    , m_peers(peers)
    , m_datagrams(datagrams)
    , m_reports(std::move(reports))
{
    datagrams.onMessage(
        DatagramKind::Demand,
        [this, receive = std::move(receive)](const Peer &from, const QCborArray &body) {
            const std::optional<DemandMessage> message = decodeDemand(body, m_timers.now());
            message ? ++m_counters.received : ++m_counters.unreadable;
            if (message)
                receive(from, *message);
        });
}

DemandExchange::~DemandExchange() = default;

Milliseconds DemandExchange::interval() const
{
    return std::max(MinInterval, IntervalPerReceiver * int(m_peers.directReceivers().size()));
}

Milliseconds DemandExchange::repeatInterval() const
{
    return std::clamp<Milliseconds>(RepeatIntervalPerReceiver
                                        * int(m_peers.directReceivers().size()),
                                    MinRepeatInterval, MaxRepeatInterval);
}

void DemandExchange::changed()
{
    const MonotonicTime now = m_timers.now();
    const MonotonicTime due = std::max(now, m_sentAt + interval());
    if (m_timer && m_due <= due)
        return;
    m_due = due;
    m_timer = m_timers.after(std::chrono::ceil<Milliseconds>(due - now), [this] { sendReports(); });
}

void DemandExchange::sendReports()
{
    m_timer.reset();
    const QList<DemandReport> reports = m_reports();
    // One empty report ends the last one.
    const bool hadReported = std::exchange(m_hasReported, !reports.isEmpty());
    if (reports.isEmpty() && !hadReported)
        return;
    m_sentAt = m_timers.now();
    send({reports, {}, {}});
    if (reports.isEmpty())
        return;
    const Milliseconds wait = repeatInterval();
    m_due = m_sentAt + wait;
    m_timer = m_timers.after(wait, [this] { sendReports(); });
}

void DemandExchange::announce(const ServiceId &service, const ReturnPromise &promise)
{
    send({{}, service, {promise}});
}

void DemandExchange::send(const DemandMessage &message)
{
    const QList<Peer> receivers = m_peers.directReceivers();
    m_counters.sent += receivers.size();
    m_datagrams.send(receivers, DatagramKind::Demand, encodeDemand(message, m_timers.now()));
}

} // namespace cranberry
