#pragma once

#include "base/LatencyHistogram.h"
#include "base/Units.h"
#include "relay/GenerationStop.h"
#include "relay/StopPlan.h"

#include <array>
#include <map>
#include <memory>

namespace cranberry {

class HttpExchange;
class TargetClient;
class TargetDirectory;
class TimerService;
class TimerSubscription;
struct MoveOutcome;
struct TargetProtocol;

/// Stops generations at the engines that they left. An engine may continue a generation after its
/// connection was closed, while another engine continues the same one. Each stop is ordered shortly
/// after the connection was closed, so that an engine that ends a generation with its connection
/// has nothing to copy, and repeated until the engine answers that the generation does not run. A
/// stop does not depend on the request, which may end in the meantime.
/// Precondition for callers: the generation does not return to an engine where it was stopped.
/// Thread safety: only from the thread of the event loop.
class GenerationStops
{
public:
    struct Counters {
        qint64 begun = 0;
        qint64 orders = 0;
        std::array<qint64, StopOutcomeCount> ended{};
        /// How long stopped generations may have run at two engines.
        LatencyHistogram overlap;
    };

    /// Precondition: everything passed outlives the object.
    GenerationStops(TimerService &timers, TargetClient &client, const TargetProtocol &protocol,
                    const TargetDirectory &targets);
    ~GenerationStops();

    /// Begins to stop @p stop. Precondition: the connection of the generation was closed.
    void begin(const GenerationStop &stop);
    qsizetype pending() const { return qsizetype(m_stops.size()); }
    /// Whether a stop is pending that may still be in time to matter; a daemon that shuts down
    /// waits for these.
    bool hasRecent() const;
    const Counters &counters() const { return m_counters; }

private:
    struct Stop;

    void scheduleOrder(quint64 number, Milliseconds delay);
    void sendOrder(quint64 number);
    void answered(quint64 number, int order, const MoveOutcome &outcome);
    /// Ends the stop, but waits for the handle of a copy that an earlier order may have begun.
    void endWhenAnswered(quint64 number);
    void end(quint64 number, StopOutcome outcome);

    TimerService &m_timers;
    TargetClient &m_client;
    const TargetProtocol &m_protocol;
    const TargetDirectory &m_targets;
    quint64 m_lastNumber = 0;
    std::map<quint64, Stop> m_stops;
    Counters m_counters;
};

} // namespace cranberry
