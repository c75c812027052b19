#include "relay/MoveCalls.h"

#include "relay/MoveOrder.h"
#include "relay/MoveOutcome.h"
#include "relay/TargetCall.h"
#include "relay/TargetClient.h"
#include "relay/TargetProtocol.h"

namespace cranberry {

namespace {

/// An engine ends within about two seconds of its notice; a copy that takes longer is lost.
constexpr Milliseconds CopyTimeout{3000};
constexpr Milliseconds ConnectTimeout{200};
constexpr Milliseconds FreeTimeout{1000};

MoveOutcome readOutcome(const TargetProtocol &protocol, HttpExchangeEnd end,
                        const HttpResponse &response)
{
    if (end == HttpExchangeEnd::Complete)
        return protocol.readMove(response);
    MoveOutcome outcome;
    if (end == HttpExchangeEnd::NotConnected)
        outcome.kind = MoveOutcome::Kind::NotSent;
    return outcome;
}

} // namespace

std::unique_ptr<HttpExchange> sendMoveOrder(TargetClient &client, const TargetProtocol &protocol,
                                            const TargetCall &call, const MoveOrder &order,
                                            std::function<void(const MoveOutcome &)> ended)
{
    HttpExchangeOptions options;
    options.connectTimeout = ConnectTimeout;
    options.timeout = CopyTimeout;
    options.keepConnection = true;
    return client.fetch(
        call, protocol.move(order), options,
        [&protocol, ended = std::move(ended)](HttpExchangeEnd end, const HttpResponse &response) {
            ended(readOutcome(protocol, end, response));
        });
}

void freeCopy(TargetClient &client, const TargetProtocol &protocol, const TargetCall &call,
              const QByteArray &handle)
{
    HttpExchangeOptions options;
    options.connectTimeout = ConnectTimeout;
    options.timeout = FreeTimeout;
    options.reuseConnection = true;
    // The callback owns the exchange.
    const auto exchange = std::make_shared<std::unique_ptr<HttpExchange>>();
    *exchange =
        client.fetch(call, protocol.freeCopy(handle), options,
                     [exchange](HttpExchangeEnd, const HttpResponse &) { exchange->reset(); });
}

} // namespace cranberry
