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
struct RelayContext;

/// Copies one running generation to another engine. Copies the generation in rounds while it runs.
/// Once a round is short, stops the generation and copies the rest. Copies from one engine are
/// queued: a final copy behind the first copy of another generation (0.2 to 0.4 s for 4,000 tokens)
/// pauses the stream for that long. A short round shows that the queue is empty. Frees a copy that
/// is not used, because it would hold memory at the destination for seconds.
/// Thread safety: only from the thread of the event loop.
class GenerationMove
{
public:
    struct Callbacks {
        /// Called before the generation is stopped; false leaves it at its source.
        std::function<bool()> stopping;
        /// Called exactly once, last, unless the move is destroyed before. @p stopped: the
        /// generation was ordered to stop.
        std::function<void(const MoveOutcome &outcome, bool stopped)> ended;
    };

    /// Starts the first round. Precondition: @p context outlives the move; @p leaving is the target
    /// at @p source.
    GenerationMove(RelayContext &context, const RequestId &request, const HttpEndpoint &source,
                   const HttpEndpoint &destination, TargetId leaving, Callbacks callbacks);
    ~GenerationMove();

private:
    void sendOrder(bool isFinal);
    bool isTimeToStop() const;
    Milliseconds nextRoundDelay() const;
    void answered(bool isFinal, const MoveOutcome &outcome);
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
    /// Handle of the copy at the source; empty before the copy has started and after it is used.
    QByteArray m_handle;
    std::unique_ptr<TimerSubscription> m_roundTimer;
    std::unique_ptr<HttpExchange> m_exchange;
};

} // namespace cranberry
