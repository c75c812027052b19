#pragma once

#include "base/Ids.h"
#include "base/Units.h"
#include "relay/RelayRequest.h"
#include "relay/RelayRoute.h"

#include <optional>

namespace cranberry {

struct HttpRequest;

/// A request that a daemon forwards to another one, which processes it as if its caller had sent it
/// there. The route, service and workspace are those that the first daemon's configuration gives.
struct ForwardMessage {
    /// The daemon that forwards the request.
    VmId from;
    /// Its API key is not sent.
    RelayRequest request;
    /// The route without its host, prefix and services.
    RelayRoute route;
    ServiceId service;
    WorkspaceId workspace;
    /// Time since the caller's request arrived.
    Milliseconds age{0};
    /// Time until the caller must have its answer.
    Milliseconds left{0};
    /// The first daemon counts the request for the retry budget.
    bool isCounted = false;
};

/// Path of forwarded requests at the address for other daemons.
constexpr char ForwardPath[] = "/forward";

/// Thread-safe.
HttpRequest encodeForward(const ForwardMessage &message);

/// Unset if @p body is not a complete, valid message. Thread-safe.
std::optional<ForwardMessage> decodeForward(const QByteArray &body);

} // namespace cranberry
