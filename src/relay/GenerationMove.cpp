#include "relay/GenerationMove.h"

#include "base/TimerService.h"
#include "base/TimerSubscription.h"
#include "http/HttpClient.h"
#include "relay/MoveOrder.h"
#include "relay/RelayContext.h"
#include "relay/TargetDirectory.h"

namespace cranberry {

namespace {

/// An engine that leaves does so within about two seconds: a copy that takes longer is lost.
constexpr Milliseconds CopyTimeout{3000};
constexpr Milliseconds ConnectTimeout{200};
constexpr Milliseconds FreeTimeout{1000};
/// A round this short had nothing to wait for; a stream may pause for 180 ms.
constexpr Milliseconds ShortRound{60};
/// Time between rounds; what is generated meanwhile is a few tokens.
constexpr Milliseconds BetweenRounds{40};
/// The last part is copied this long before the engine goes, whatever the rounds say. Earlier it is
/// longer, and the stream pauses for longer.
constexpr Milliseconds LastMoment{150};

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
    order(false);
}

GenerationMove::~GenerationMove()
{
    freeCopy();
}

void GenerationMove::freeCopy()
{
    if (m_handle.isEmpty())
        return;
    HttpExchangeOptions options;
    options.connectTimeout = ConnectTimeout;
    options.timeout = FreeTimeout;
    options.reuseConnection = true;
    // The exchange is kept alive by its own callback: nobody waits for the answer, and the engine
    // frees the copy by itself after some seconds.
    const auto exchange = std::make_shared<std::unique_ptr<HttpExchange>>();
    *exchange = m_context.client.fetch(
        m_source, m_context.protocol.freeCopy(std::exchange(m_handle, {})), options,
        [exchange](HttpExchangeEnd, const HttpResponse &) { exchange->reset(); });
}

void GenerationMove::order(bool isLast)
{
    HttpExchangeOptions options;
    options.connectTimeout = ConnectTimeout;
    options.timeout = CopyTimeout;
    options.keepConnection = true;
    m_roundBegan = m_context.timers.now();
    const MoveOrder order{m_request, m_destination, isLast};
    m_exchange =
        m_context.client.fetch(m_source, m_context.protocol.move(order), options,
                               [this, isLast](HttpExchangeEnd end, const HttpResponse &response) {
                                   const MoveOutcome outcome = end == HttpExchangeEnd::Complete
                                       ? m_context.protocol.readMove(response)
                                       : MoveOutcome();
                                   answered(isLast, outcome);
                               });
}

void GenerationMove::answered(bool isLast, const MoveOutcome &outcome)
{
    if (++m_rounds == 1)
        m_firstRound =
            std::chrono::duration_cast<Milliseconds>(m_context.timers.now() - m_roundBegan);
    if (!outcome.handle.isEmpty())
        m_handle = outcome.handle;
    const bool goesOn = !isLast && outcome.kind == MoveOutcome::Kind::Copied;
    if (!goesOn) {
        end(outcome, isLast);
        return;
    }
    if (!isTimeToStop())
        m_next = m_context.timers.after(untilNextRound(), [this] { order(false); });
    else if (m_callbacks.stopping())
        order(true);
    else
        end(outcome, false);
}

Milliseconds GenerationMove::untilNextRound() const
{
    const TargetRecord *source = m_context.targets.find(m_leaving);
    if (!source)
        return BetweenRounds;
    // Behind the first copies of others a round would not be short.
    const MonotonicTime now = m_context.timers.now();
    const MonotonicTime next = std::min(source->linkFreeAt, source->leavesAt - LastMoment);
    return std::max(BetweenRounds, std::chrono::duration_cast<Milliseconds>(next - now));
}

bool GenerationMove::isTimeToStop() const
{
    const MonotonicTime now = m_context.timers.now();
    const TargetRecord *source = m_context.targets.find(m_leaving);
    const bool isLastMoment = !source || now + LastMoment >= source->leavesAt;
    return now - m_roundBegan <= ShortRound || isLastMoment;
}

void GenerationMove::end(MoveOutcome outcome, bool stopped)
{
    outcome.rounds = m_rounds;
    outcome.firstRound = m_firstRound;
    // Its user takes over a copy of a generation that was stopped.
    if (stopped && !outcome.handle.isEmpty())
        m_handle.clear();
    const auto callback = std::move(m_callbacks.ended);
    callback(outcome, stopped);
}

} // namespace cranberry
