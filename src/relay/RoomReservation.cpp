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
/// Engines may drop connections that were idle for longer without notice.
constexpr Milliseconds MostIdle{10000};

HttpExchangeOptions optionsWith(Milliseconds timeout)
{
    HttpExchangeOptions options;
    options.connectTimeout = timeout;
    options.timeout = timeout;
    options.reuseConnection = true;
    options.mostIdle = MostIdle;
    return options;
}

} // namespace

/// Outlives the reservation while an answer is due, so that room granted too late is given back.
struct RoomReservation::State {
    RelayContext &context;
    HttpEndpoint endpoint;
    /// Empty once the reservation is destroyed.
    Ended ended;
    QByteArray id;
    std::unique_ptr<HttpExchange> exchange;
};

RoomReservation::RoomReservation(RelayContext &context, const RelayTarget &target, Tokens tokens,
                                 Milliseconds holdsFor, Ended ended)
    : m_state(std::make_shared<State>(
          State{context, target.endpoint, std::move(ended), QByteArray(), nullptr}))
{
    const ReservationOrder order{target.id, tokens, holdsFor};
    m_state->exchange = context.client.fetch(
        target.endpoint, context.protocol.reserve(order), optionsWith(AnswerTimeout),
        [state = m_state](HttpExchangeEnd end, const HttpResponse &response) {
            const ReservationOutcome outcome = end == HttpExchangeEnd::Complete
                ? state->context.protocol.readReservation(response)
                : ReservationOutcome();
            answered(state, outcome);
        });
}

RoomReservation::~RoomReservation()
{
    m_state->ended = {};
    giveBack(m_state);
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
    const HttpRequest request = state->context.protocol.freeReservation(std::exchange(state->id, {}));
    state->exchange = state->context.client.fetch(
        state->endpoint, request, optionsWith(GiveBackTimeout),
        [state](HttpExchangeEnd, const HttpResponse &) { state->exchange.reset(); });
}

} // namespace cranberry
