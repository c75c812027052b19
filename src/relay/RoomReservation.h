#pragma once

#include "base/Units.h"
#include "relay/ReservationOutcome.h"

#include <functional>
#include <memory>

namespace cranberry {

struct RelayContext;
struct RelayTarget;

/// Memory and a batch slot that an engine reserves for one request. Requests a reservation from an
/// engine and releases it if no request used it. Placements of other daemons become known after 10
/// ms or more. Without reservations, several daemons with waiting requests would send them to the
/// same engine as soon as it has room, and the requests would queue there. The engine grants its
/// room only once.
/// Thread safety: only from the thread of the event loop.
class RoomReservation
{
public:
    using Ended = std::function<void(const ReservationOutcome &outcome)>;

    /// Calls @p ended exactly once, asynchronously, unless the object is destroyed before.
    /// Precondition: @p context outlives the answer of the engine.
    RoomReservation(RelayContext &context, const RelayTarget &target, Tokens tokens,
                    Milliseconds lifetime, Ended ended);
    ~RoomReservation();

    /// Returns the id of the reservation and transfers its ownership to the caller; empty on later
    /// calls.
    QByteArray use();

private:
    struct State;

    static void ask(const std::shared_ptr<State> &state, bool overKeptConnection);
    static void answered(const std::shared_ptr<State> &state, const ReservationOutcome &outcome);
    static void release(const std::shared_ptr<State> &state);

    std::shared_ptr<State> m_state;
};

} // namespace cranberry
