#include "relay/GenerationStops.h"

#include "base/EventLog.h"
#include "base/TimerService.h"
#include "base/TimerSubscription.h"
#include "http/HttpExchange.h"
#include "relay/MoveCalls.h"
#include "relay/MoveOrder.h"
#include "relay/MoveOutcome.h"
#include "relay/TargetCall.h"
#include "relay/TargetDirectory.h"

#include <algorithm>

namespace cranberry {

namespace {

/// Time in which an engine notices that a connection was closed.
constexpr Milliseconds CloseNoticeTime{30};
/// A daemon that shuts down waits this long for the end of a stop.
constexpr Milliseconds RecentLimit{2000};

} // namespace

struct GenerationStops::Stop {
    struct Order {
        MonotonicTime sentAt;
        std::unique_ptr<HttpExchange> exchange;
    };

    GenerationStop stop;
    MonotonicTime begun;
    int orders = 0;
    /// Those without an answer, by their numbers.
    std::map<int, Order> unanswered;
    /// When the order was sent that was answered last.
    MonotonicTime answeredOrderSentAt;
    /// The engine has answered that the generation does not run there.
    bool isOver = false;
    std::unique_ptr<TimerSubscription> timer;
};

GenerationStops::GenerationStops(TimerService &timers, TargetClient &client,
                                 const TargetProtocol &protocol, const TargetDirectory &targets)
    : m_timers(timers)
    , m_client(client)
    , m_protocol(protocol)
    , m_targets(targets)
{
}

GenerationStops::~GenerationStops() = default;

bool GenerationStops::hasRecent() const
{
    const MonotonicTime now = m_timers.now();
    return std::any_of(m_stops.begin(), m_stops.end(),
                       [now](const auto &entry) { return now - entry.second.begun < RecentLimit; });
}

void GenerationStops::begin(const GenerationStop &stop)
{
    ++m_counters.begun;
    const quint64 number = ++m_lastNumber;
    Stop &entry = m_stops[number];
    entry.stop = stop;
    entry.begun = m_timers.now();
    logEvent(LogLevel::Info, EventId::StopBegun,
             {{"request", stop.request.text()},
              {"target", stop.target.text()},
              {"reason", QLatin1String(stop.reason)}});
    scheduleOrder(number, CloseNoticeTime);
}

void GenerationStops::scheduleOrder(quint64 number, Milliseconds delay)
{
    m_stops.at(number).timer = m_timers.after(delay, [this, number] { sendOrder(number); });
}

void GenerationStops::sendOrder(quint64 number)
{
    Stop &entry = m_stops.at(number);
    const MonotonicTime now = m_timers.now();
    if (now >= entry.stop.deadline) {
        end(number, StopOutcome::DeadlinePassed);
        return;
    }
    ++m_counters.orders;
    const int order = ++entry.orders;
    entry.unanswered[order] = {
        now,
        sendMoveOrder(m_client, m_protocol,
                      {entry.stop.target, entry.stop.endpoint, CallPurpose::Move},
                      MoveOrder{entry.stop.request, entry.stop.successor, true},
                      [this, number, order](const MoveOutcome &outcome) {
                          answered(number, order, outcome);
                      })};
    scheduleOrder(number, nextStopDelay(StopAnswer::Pending, order));
}

void GenerationStops::answered(quint64 number, int order, const MoveOutcome &outcome)
{
    Stop &entry = m_stops.at(number);
    entry.answeredOrderSentAt = entry.unanswered.at(order).sentAt;
    entry.unanswered.erase(order);
    if (!outcome.handle.isEmpty())
        freeCopy(m_client, m_protocol,
                 {entry.stop.target, entry.stop.endpoint, CallPurpose::Release}, outcome.handle);
    StopAnswer answer = stopAnswer(outcome);
    // The copy in progress is probably that of an earlier order.
    if (answer == StopAnswer::Copying && !entry.unanswered.empty())
        answer = StopAnswer::Pending;
    if (answer == StopAnswer::Stopped)
        end(number, StopOutcome::Stopped);
    else if (entry.isOver || answer == StopAnswer::NotRunning)
        endWhenAnswered(number);
    else if (answer == StopAnswer::NotDelivered && !m_targets.find(entry.stop.target))
        end(number, StopOutcome::TargetGone);
    else
        scheduleOrder(number, nextStopDelay(answer, entry.orders));
}

void GenerationStops::endWhenAnswered(quint64 number)
{
    Stop &entry = m_stops.at(number);
    entry.isOver = true;
    entry.timer.reset();
    if (entry.unanswered.empty())
        end(number, StopOutcome::NotRunning);
}

void GenerationStops::end(quint64 number, StopOutcome outcome)
{
    const Stop &entry = m_stops.at(number);
    const auto overlap = std::chrono::duration_cast<Milliseconds>(entry.answeredOrderSentAt
                                                                  - entry.stop.continuedAt);
    const auto age =
        std::chrono::duration_cast<Milliseconds>(m_timers.now() - entry.stop.continuedAt);
    const bool wasRunning = outcome == StopOutcome::Stopped;
    ++m_counters.ended[std::size_t(outcome)];
    if (wasRunning)
        m_counters.overlap.add(double(overlap.count()));
    logEvent(LogLevel::Info, EventId::StopEnded,
             {{"request", entry.stop.request.text()},
              {"target", entry.stop.target.text()},
              {"reason", QLatin1String(entry.stop.reason)},
              {"outcome", QLatin1String(stopOutcomeName(outcome))},
              {"orders", QString::number(entry.orders)},
              {"overlap_ms", QString::number(wasRunning ? overlap.count() : 0)},
              {"ms", QString::number(age.count())}});
    m_stops.erase(number);
}

} // namespace cranberry
