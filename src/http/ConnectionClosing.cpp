#include "http/ConnectionClosing.h"

#include "http/CallerLimits.h"
#include "http/ListenerLimits.h"

namespace cranberry {

namespace {

/// Time for the caller to read the last response before the connection is closed. Closing a socket
/// with unread received bytes sends a reset, which can reach the caller before the response does.
constexpr Milliseconds LingerTimeout{1000};
/// Time that the first request of a new connection may take to arrive while idle connections are
/// closed. Callers allow a second for a connection to be established.
constexpr Milliseconds FirstRequestTimeout{1000};

ConnectionAction receivingAction(const ConnectionStatus &status, ListenerStage stage,
                                 const CallerLimits &limits, Milliseconds requestTimeout)
{
    if (stage == ListenerStage::Ending)
        return ConnectionAction::RejectEnding;
    const Milliseconds timeout =
        status.areHeadersPending ? limits.headerTimeout : limits.idleTimeout;
    return status.idle > timeout || status.receiving > requestTimeout ? ConnectionAction::RejectSlow
                                                                      : ConnectionAction::Keep;
}

} // namespace

ConnectionAction connectionAction(const ConnectionStatus &status, ListenerStage stage,
                                  const CallerLimits &limits, const ListenerLimits &listenerLimits)
{
    if (status.hasUnsentBytes && status.sending > listenerLimits.responseTimeout)
        return ConnectionAction::Close;
    const bool isServing = stage == ListenerStage::Serving;
    switch (status.state) {
    case ConnectionState::AwaitingFirst:
        return status.idle > (isServing ? limits.idleTimeout : FirstRequestTimeout)
            ? ConnectionAction::CloseUnread
            : ConnectionAction::Keep;
    case ConnectionState::AwaitingNext:
        // The caller has not received the last response yet.
        if (status.hasUnsentBytes)
            return ConnectionAction::Keep;
        return !isServing || status.idle > limits.idleTimeout ? ConnectionAction::CloseUnread
                                                              : ConnectionAction::Keep;
    case ConnectionState::Receiving:
        return receivingAction(status, stage, limits, listenerLimits.requestTimeout);
    case ConnectionState::Lingering:
        return status.idle > LingerTimeout && !status.hasUnsentBytes ? ConnectionAction::Close
                                                                     : ConnectionAction::Keep;
    case ConnectionState::Answering:
    case ConnectionState::Streaming:
    case ConnectionState::Ended:
        break;
    }
    return ConnectionAction::Keep;
}

bool isConnectionBusy(const ConnectionStatus &status, ListenerStage stage)
{
    switch (status.state) {
    case ConnectionState::AwaitingFirst:
    case ConnectionState::Receiving:
    case ConnectionState::Answering:
    case ConnectionState::Streaming:
    case ConnectionState::Lingering:
        return true;
    case ConnectionState::AwaitingNext:
        // It was not closed, so that the next request has arrived or the last response is unsent.
        return stage != ListenerStage::Serving || status.hasUnsentBytes;
    case ConnectionState::Ended:
        break;
    }
    return false;
}

} // namespace cranberry
