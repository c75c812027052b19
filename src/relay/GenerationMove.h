// Defines GenerationMove, the copying of one running generation to another engine.
#pragma once

#include "base/Ids.h"
#include "http/HttpEndpoint.h"
#include "relay/MoveOutcome.h"

#include <functional>
#include <memory>

namespace cranberry {

class HttpExchange;
struct HttpResponse;
struct RelayContext;

/// Copies while the generation runs, then stops it and copies the rest, so that the pause is as
/// long as the rest is: a copy of 4,000 tokens takes about 0.2 s, the last part a few ms.
/// Destroying it leaves an unfinished order to the engine.
/// Thread safety: only from the thread of the event loop.
class GenerationMove
{
public:
    struct Callbacks {
        /// The generation is about to be stopped; false keeps it where it is.
        std::function<bool()> stopping;
        /// Called once, last. @p stopped: the order to stop it was given.
        std::function<void(const MoveOutcome &outcome, bool stopped)> ended;
    };

    /// Precondition: @p context outlives the move.
    GenerationMove(RelayContext &context, const RequestId &request, const HttpEndpoint &source,
                   const HttpEndpoint &destination, Callbacks callbacks);
    ~GenerationMove();

private:
    void order(bool isLast);
    void answered(bool isLast, const MoveOutcome &outcome);
    void end(const MoveOutcome &outcome, bool stopped);

    RelayContext &m_context;
    RequestId m_request;
    HttpEndpoint m_source;
    HttpEndpoint m_destination;
    Callbacks m_callbacks;
    std::unique_ptr<HttpExchange> m_exchange;
};

} // namespace cranberry
