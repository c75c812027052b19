#pragma once

#include <QByteArray>

#include <functional>
#include <memory>

namespace cranberry {

class HttpExchange;
class TargetClient;
struct MoveOrder;
struct MoveOutcome;
struct TargetCall;
struct TargetProtocol;

/// Sends @p order to the engine of @p call and calls @p ended once, unless the result is destroyed
/// before. An order without an answer ends after three seconds; a copy takes less.
/// Precondition: @p client and @p protocol outlive the result. Thread safety: that of @p client.
[[nodiscard]] std::unique_ptr<HttpExchange>
sendMoveOrder(TargetClient &client, const TargetProtocol &protocol, const TargetCall &call,
              const MoveOrder &order, std::function<void(const MoveOutcome &)> ended);

/// Frees the copy @p handle at both ends; @p call names its source. Nothing waits for the answer:
/// the engine frees a copy itself after a few seconds. Precondition and thread safety as above.
void freeCopy(TargetClient &client, const TargetProtocol &protocol, const TargetCall &call,
              const QByteArray &handle);

} // namespace cranberry
