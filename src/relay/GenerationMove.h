// Defines GenerationMove, the copying of one running generation to another engine.
#pragma once

#include "base/Ids.h"
#include "base/Units.h"
#include "http/HttpEndpoint.h"
#include "relay/MoveOutcome.h"

#include <functional>
#include <memory>

namespace cranberry {

class HttpExchange;
class TimerSubscription;
struct HttpResponse;
struct RelayContext;

/// Copies while the generation runs, again and again until a round is short, then stops it and
/// copies the rest. Copies from one engine wait for each other: a last part that waits behind the
/// first copy of another generation (0.2 to 0.4 s for 4,000 tokens) makes a pause that long, while
/// a round that was short shows that nothing waits.
/// A copy that is not used is freed, as it takes memory at the destination for seconds.
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

    /// Precondition: @p context outlives the move; @p leaving is the target at @p source.
    GenerationMove(RelayContext &context, const RequestId &request, const HttpEndpoint &source,
                   const HttpEndpoint &destination, TargetId leaving, Callbacks callbacks);
    ~GenerationMove();

private:
    void order(bool isLast);
    bool isTimeToStop() const;
    Milliseconds untilNextRound() const;
    void answered(bool isLast, const MoveOutcome &outcome);
    void freeCopy();
    void end(MoveOutcome outcome, bool stopped);

    RelayContext &m_context;
    RequestId m_request;
    HttpEndpoint m_source;
    HttpEndpoint m_destination;
    TargetId m_leaving;
    MonotonicTime m_roundBegan;
    int m_rounds = 0;
    Milliseconds m_firstRound{0};
    Callbacks m_callbacks;
    /// What the source calls the copy; empty until it is begun or once it is used.
    QByteArray m_handle;
    std::unique_ptr<TimerSubscription> m_next;
    std::unique_ptr<HttpExchange> m_exchange;
};

} // namespace cranberry
