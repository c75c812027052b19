#include "relay/RoomReservation.h"

#include "http/HttpClient.h"
#include "relay/RelayContext.h"
#include "relay/RelayTarget.h"
#include "relay/ReservationOrder.h"

namespace cranberry {

namespace {

/// An engine answers within 5 ms; one that is dark or hangs never does. Nothing of the request
/// has left until then, so that giving up early costs nothing.
constexpr Milliseconds AnswerTimeout{300};
constexpr Milliseconds GiveBackTimeout{1000};
/// Kept connections spare new ones; engines that close them sooner are asked again.
constexpr Milliseconds MostIdle{10000};

HttpExchangeOptions optionsWith(Milliseconds timeout, bool overKeptConnection)
{
    HttpExchangeOptions options;
    options.connectTimeout = timeout;
    options.timeout = timeout;
    options.reuseConnection = overKeptConnection;
    options.keepConnection = true;
    options.maxIdleTime = MostIdle;
    return options;
}

} // namespace

/// Outlives the reservation while an answer is due, so that room granted too late is given back.
struct RoomReservation::State {
    RelayContext &context;
    HttpEndpoint endpoint;
    ReservationOrder order;
    /// Empty once the reservation is destroyed.
    Ended ended;
    QByteArray id;
    std::unique_ptr<HttpExchange> exchange;
};

RoomReservation::RoomReservation(RelayContext &context, const RelayTarget &target, Tokens tokens,
                                 Milliseconds holdsFor, Ended ended)
    : m_state(std::make_shared<State>(
        State{context, target.endpoint, {target.id, tokens, holdsFor}, std::move(ended), {}, {}}))
{
    ask(m_state, true);
}

RoomReservation::~RoomReservation()
{
    m_state->ended = {};
    giveBack(m_state);
}

void RoomReservation::ask(const std::shared_ptr<State> &state, bool overKeptConnection)
{
    state->exchange = state->context.client.fetch(
        state->endpoint, state->context.protocol.reserve(state->order),
        optionsWith(AnswerTimeout, overKeptConnection),
        [state, overKeptConnection](HttpExchangeEnd end, const HttpResponse &response) {
            // Some engines drop idle connections without notice; that says nothing of the engine.
            if (end == HttpExchangeEnd::Broken && overKeptConnection && state->ended)
                ask(state, false);
            else if (end == HttpExchangeEnd::Complete)
                answered(state, state->context.protocol.readReservation(response));
            else
                answered(state, ReservationOutcome());
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
        giveBack(state);
        return;
    }
    const Ended ended = std::move(state->ended);
    ended(outcome);
}

void RoomReservation::giveBack(const std::shared_ptr<State> &state)
{
    if (state->id.isEmpty())
        return;
    // Nobody waits for the answer: the engine frees the room by itself when its time is over.
    const HttpRequest request =
        state->context.protocol.freeReservation(std::exchange(state->id, {}));
    state->exchange = state->context.client.fetch(
        state->endpoint, request, optionsWith(GiveBackTimeout, true),
        [state](HttpExchangeEnd, const HttpResponse &) { state->exchange.reset(); });
}

} // namespace cranberry
