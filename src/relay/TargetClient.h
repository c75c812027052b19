#pragma once

#include "http/HttpClient.h"

#include <functional>
#include <memory>

namespace cranberry {

class TargetAvailability;
struct TargetCall;
struct TargetProtocol;

/// Sends everything that this daemon sends to targets, and reads from the head of each answer what
/// the target says of itself; see TargetAvailability.
/// Thread safety: only from the thread of the event loop.
class TargetClient
{
public:
    /// Precondition: everything passed outlives the client.
    TargetClient(HttpClient &client, const TargetProtocol &protocol,
                 TargetAvailability &availability);

    /// See TargetAvailability::mayCall().
    bool mayCall(const TargetCall &call) const;
    /// Sends @p request as HttpClient::send() does. Null if the target takes no such call now;
    /// nothing was sent then, and no callback is called.
    [[nodiscard]] std::unique_ptr<HttpExchange> send(const TargetCall &call,
                                                     const HttpRequest &request,
                                                     const HttpExchangeOptions &options,
                                                     HttpExchangeCallbacks callbacks);
    /// As send(), collecting the response as HttpClient::fetch() does. The purpose of the call
    /// bounds the size of the response.
    [[nodiscard]] std::unique_ptr<HttpExchange> fetch(const TargetCall &call,
                                                      const HttpRequest &request,
                                                      const HttpExchangeOptions &options,
                                                      HttpClient::ResponseCallback callback);

private:
    HttpClient &m_client;
    const TargetProtocol &m_protocol;
    TargetAvailability &m_availability;
};

} // namespace cranberry
