#include "relay/GenerationMove.h"

#include "base/TimerService.h"
#include "base/TimerSubscription.h"
#include "http/HttpExchange.h"
#include "relay/MoveCalls.h"
#include "relay/MoveOrder.h"
#include "relay/RelayContext.h"
#include "relay/TargetCall.h"
#include "relay/TargetDirectory.h"

namespace cranberry {

namespace {

/// Maximum duration of a round that did not wait for other copies; a stream may pause for 180 ms.
constexpr Milliseconds ShortRoundLimit{60};
/// Delay between rounds; few tokens are generated in this time.
constexpr Milliseconds RoundInterval{40};
/// The final copy starts this long before the engine leaves, regardless of the duration of the
/// rounds. An earlier final copy contains more tokens and pauses the stream for longer.
constexpr Milliseconds FinalCopyLead{150};

} // namespace

GenerationMove::GenerationMove(RelayContext &context, const RequestId &request,
                               const HttpEndpoint &source, const HttpEndpoint &destination,
                               TargetId leaving, Callbacks callbacks)
    : m_context(context)
    , m_request(request)
    , m_source(source)
    , m_destination(destination)
    , m_leaving(std::move(leaving))
    , m_callbacks(std::move(callbacks))
{
    sendOrder(false);
}

GenerationMove::~GenerationMove()
{
    freeCopy();
}

void GenerationMove::freeCopy()
{
    if (m_handle.isEmpty())
        return;
    cranberry::freeCopy(m_context.targetClient, m_context.targetProtocol,
                        {m_leaving, m_source, CallPurpose::Release}, std::exchange(m_handle, {}));
}

void GenerationMove::sendOrder(bool isFinal)
{
    m_roundBegan = m_context.timers.now();
    m_exchange = sendMoveOrder(
        m_context.targetClient, m_context.targetProtocol, {m_leaving, m_source, CallPurpose::Move},
        MoveOrder{m_request, m_destination, isFinal},
        [this, isFinal](const MoveOutcome &outcome) { answered(isFinal, outcome); });
}

void GenerationMove::answered(bool isFinal, const MoveOutcome &outcome)
{
    if (++m_rounds == 1)
        m_firstRound =
            std::chrono::duration_cast<Milliseconds>(m_context.timers.now() - m_roundBegan);
    if (!outcome.handle.isEmpty())
        m_handle = outcome.handle;
    const bool continues = !isFinal && outcome.kind == MoveOutcome::Kind::Copied;
    if (!continues) {
        end(outcome, isFinal);
        return;
    }
    if (!isTimeToStop())
        m_roundTimer = m_context.timers.after(nextRoundDelay(), [this] { sendOrder(false); });
    else if (m_callbacks.stopping())
        sendOrder(true);
    else
        end(outcome, false);
}

Milliseconds GenerationMove::nextRoundDelay() const
{
    const TargetRecord *source = m_context.targets.find(m_leaving);
    if (!source)
        return RoundInterval;
    // A round behind the first copies of other generations would not be short.
    const MonotonicTime now = m_context.timers.now();
    const MonotonicTime next = std::min(source->linkFreeAt, source->leavesAt - FinalCopyLead);
    return std::max(RoundInterval, std::chrono::duration_cast<Milliseconds>(next - now));
}

bool GenerationMove::isTimeToStop() const
{
    const MonotonicTime now = m_context.timers.now();
    const TargetRecord *source = m_context.targets.find(m_leaving);
    const bool isFinalCopyDue = !source || now + FinalCopyLead >= source->leavesAt;
    return now - m_roundBegan <= ShortRoundLimit || isFinalCopyDue;
}

void GenerationMove::end(MoveOutcome outcome, bool stopped)
{
    outcome.rounds = m_rounds;
    outcome.firstRound = m_firstRound;
    // The receiver of the callback uses the copy of a stopped generation.
    if (stopped && !outcome.handle.isEmpty())
        m_handle.clear();
    const auto callback = std::move(m_callbacks.ended);
    callback(outcome, stopped);
}

} // namespace cranberry
