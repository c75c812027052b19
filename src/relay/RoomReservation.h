// Defines RoomReservation, memory and a place that an engine keeps free for one request.
#pragma once

#include "base/Units.h"
#include "relay/ReservationOutcome.h"

#include <functional>
#include <memory>

namespace cranberry {

struct RelayContext;
struct RelayTarget;

/// Asks an engine for room and gives back what no request used. Daemons learn of each other's
/// placements 10 ms late or more: when room appears, several that have waiting requests send them
/// to the same engine, where they then wait for each other. The engine itself grants its room once.
/// Thread safety: only from the thread of the event loop.
class RoomReservation
{
public:
    using Ended = std::function<void(const ReservationOutcome &outcome)>;

    /// Calls @p ended once, later, unless the object is destroyed before.
    /// Precondition: @p context outlives the answer of the engine.
    RoomReservation(RelayContext &context, const RelayTarget &target, Tokens tokens,
                    Milliseconds holdsFor, Ended ended);
    ~RoomReservation();

    /// The id under which a request uses it, once; from then on it is the request's.
    QByteArray use();

private:
    struct State;

    static void ask(const std::shared_ptr<State> &state, bool overKeptConnection);
    static void answered(const std::shared_ptr<State> &state, const ReservationOutcome &outcome);
    static void giveBack(const std::shared_ptr<State> &state);

    std::shared_ptr<State> m_state;
};

} // namespace cranberry
