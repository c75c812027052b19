#include "relay/RoomReservation.h"

#include "base/TimerService.h"
#include "base/TimerSubscription.h"
#include "relay/ReachMonitor.h"
#include "relay/RelayContext.h"
#include "relay/RelayTarget.h"
#include "relay/ReservationOrder.h"
#include "relay/TargetCall.h"
#include "relay/TargetClient.h"

namespace cranberry {

namespace {

/// An engine answers within 5 ms unless it is unreachable or hangs. The request itself has not been
/// sent yet, so an early timeout is safe.
constexpr Milliseconds AnswerTimeout{300};
constexpr Milliseconds ReleaseTimeout{1000};
/// Idle connections are reused up to this age. If an engine has already closed one, the reservation
/// is requested again over a new connection.
constexpr Milliseconds MaxIdle{10000};

HttpExchangeOptions optionsWith(Milliseconds timeout, bool overKeptConnection)
{
    HttpExchangeOptions options;
    options.connectTimeout = timeout;
    options.timeout = timeout;
    options.reuseConnection = overKeptConnection;
    options.keepConnection = true;
    options.maxIdleTime = MaxIdle;
    return options;
}

} // namespace

/// Outlives the reservation until the answer arrives, so that a reservation that is granted late is
/// released.
struct RoomReservation::State {
    RelayContext &context;
    HttpEndpoint endpoint;
    ReservationOrder order;
    /// Empty after the reservation is destroyed.
    Ended ended;
    QByteArray id;
    std::unique_ptr<HttpExchange> exchange;
    std::unique_ptr<TimerSubscription> withheldTimer;
};

RoomReservation::RoomReservation(RelayContext &context, const RelayTarget &target, Tokens tokens,
                                 Milliseconds lifetime, Ended ended)
    : m_state(std::make_shared<State>(State{
        context, target.endpoint, {target.id, tokens, lifetime}, std::move(ended), {}, {}, {}}))
{
    ask(m_state, true);
}

RoomReservation::~RoomReservation()
{
    m_state->ended = {};
    release(m_state);
}

void RoomReservation::ask(const std::shared_ptr<State> &state, bool overKeptConnection)
{
    state->exchange = state->context.targetClient.fetch(
        {state->order.target, state->endpoint, CallPurpose::Reservation},
        state->context.targetProtocol.reserve(state->order),
        optionsWith(AnswerTimeout, overKeptConnection),
        [state, overKeptConnection](HttpExchangeEnd end, const HttpResponse &response) {
            // Some engines close idle connections without notice, which says nothing about their
            // state.
            if (end == HttpExchangeEnd::Broken && overKeptConnection && state->ended) {
                ask(state, false);
                return;
            }
            const bool isNew = state->exchange->isNewConnection();
            if (end == HttpExchangeEnd::Complete) {
                state->context.reach.recordAnswer(state->order.target, isNew);
                answered(state, state->context.targetProtocol.readReservation(response));
            } else {
                state->context.reach.recordNoAnswer(state->order.target, isNew);
                answered(state, ReservationOutcome());
            }
        });
    if (state->exchange)
        return;
    state->withheldTimer = state->context.timers.after(Milliseconds(0), [state] {
        // Ends the cycle of references to the state.
        const auto timer = std::move(state->withheldTimer);
        ReservationOutcome outcome;
        outcome.kind = ReservationOutcome::Kind::NoRoom;
        answered(state, outcome);
    });
}

QByteArray RoomReservation::use()
{
    return std::exchange(m_state->id, {});
}

void RoomReservation::answered(const std::shared_ptr<State> &state,
                               const ReservationOutcome &outcome)
{
    const std::unique_ptr<HttpExchange> done = std::move(state->exchange);
    state->id = outcome.id;
    if (!state->ended) {
        release(state);
        return;
    }
    const Ended ended = std::move(state->ended);
    ended(outcome);
}

void RoomReservation::release(const std::shared_ptr<State> &state)
{
    if (state->id.isEmpty())
        return;
    // Nothing waits for the answer: the engine releases the reservation itself when it expires.
    const HttpRequest request =
        state->context.targetProtocol.freeReservation(std::exchange(state->id, {}));
    state->exchange = state->context.targetClient.fetch(
        {state->order.target, state->endpoint, CallPurpose::Release}, request,
        optionsWith(ReleaseTimeout, true),
        [state](HttpExchangeEnd, const HttpResponse &) { state->exchange.reset(); });
}

} // namespace cranberry
