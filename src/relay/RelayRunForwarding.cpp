#include "relay/RelayRun.h"

#include "base/EventLog.h"
#include "base/TimerService.h"
#include "base/TimerSubscription.h"
#include "http/CallerReply.h"
#include "http/HttpResponse.h"
#include "relay/BrittleServices.h"
#include "relay/ForwardMessage.h"
#include "relay/ForwardedExchange.h"
#include "relay/PeerDirectory.h"
#include "relay/PeerForwarding.h"
#include "relay/ReachMonitor.h"
#include "relay/RelayContext.h"
#include "relay/ShutdownPlan.h"

namespace cranberry {

namespace {

/// Number of daemons to which one request is forwarded, one after the other. Those that were not
/// heard for a second may be partitioned as well.
constexpr int MaxForwards = 3;
/// Maximum idle time of reused connections to other daemons, as to targets.
constexpr Milliseconds MaxIdleIdempotent{5000};
constexpr Milliseconds NoConnectionReuse{0};
/// The other daemon waits for a silent target for 2.5 objectives and then tries another one.
constexpr double SilenceTimeoutObjectives = 6;
constexpr qsizetype MaxUnsentBytes = 1024 * 1024;

} // namespace

bool RelayRun::shouldForward() const
{
    const bool cannotServe = m_context.reach.isUnreachable(m_task.service)
        || (!m_task.engine && !m_context.brittle.hasPart(m_task.service));
    return cannotServe && m_task.forwardedBy.isEmpty() && m_excludedPeers.size() < MaxForwards
        && m_context.forwarding.hasPeer(m_task.service, m_excludedPeers);
}

void RelayRun::forward()
{
    m_phase = Phase::Forwarded;
    m_waitTimer.reset();
    if (m_arrivals > 0 && !spendRetry()) {
        giveUp(SendResult());
        return;
    }
    returnRetry();
    // The daemon that sends the request to a target needs the permission.
    returnTrials();
    const std::optional<Peer> peer =
        m_context.forwarding.choosePeer(m_task.service, m_excludedPeers);
    const MonotonicTime now = m_context.timers.now();
    ForwardMessage message;
    message.from = m_context.vm;
    message.request = m_task.request;
    message.route = m_task.route;
    message.route.maxAttempts = std::max(m_task.route.maxAttempts - m_possibleRuns, 1);
    message.service = m_task.service;
    message.workspace = m_task.workspace;
    message.age = std::chrono::duration_cast<Milliseconds>(now - m_task.arrived);
    message.left = timeLeft();
    message.isCounted = m_isCounted;
    ++m_sends;
    m_forwardPeer = peer->vm;
    m_forwardedAt = now;
    m_context.forwarding.begin(m_forwardPeer);
    logEvent(LogLevel::Info, EventId::RelayForwarded,
             {{"request", m_task.request.id.text()},
              {"service", m_task.service.text()},
              {"vm", peer->vm.text()},
              {"data_centre", peer->dataCentre.text()},
              {"send", QString::number(m_sends)},
              {"left_ms", QString::number(message.left.count())}});
    ForwardCallbacks callbacks;
    callbacks.began = [this](int status, const HttpHeaders &headers) {
        m_streamOpen = true;
        m_ran = Ran::Yes;
        m_firstEventAt = m_context.timers.now();
        m_reply->startStream(status, headers);
    };
    callbacks.data = [this](const QByteArray &data) {
        const auto self = shared_from_this();
        m_reply->write(data);
        if (m_reply->unsentBytes() > MaxUnsentBytes)
            failStream(QStringLiteral("the caller reads too slowly"));
    };
    callbacks.ended = [this](const ForwardResult &result) {
        const auto self = shared_from_this();
        forwardEnded(result);
    };
    const Milliseconds maxIdle =
        m_task.route.kind == RequestKind::Idempotent ? MaxIdleIdempotent : NoConnectionReuse;
    m_forward = std::make_unique<ForwardedExchange>(
        m_context.client, peer->endpoint, message, maxIdle,
        ForwardLimits{m_context.maxAnswer, m_context.callerMemory}, std::move(callbacks));
    if (m_task.route.kind == RequestKind::Idempotent) {
        const auto silence = std::chrono::duration_cast<Milliseconds>(SilenceTimeoutObjectives
                                                                      * m_task.route.objective);
        m_silenceTimer = m_context.timers.after(silence, [this] {
            const auto self = shared_from_this();
            silenceTimedOut();
        });
    }
}

void RelayRun::leaveForwardPeer(ForwardOutcome outcome)
{
    if (m_forwardPeer.isEmpty())
        return;
    m_silenceTimer.reset();
    m_context.forwarding.end(std::exchange(m_forwardPeer, VmId()), outcome);
    m_forward.reset();
}

void RelayRun::forwardEnded(const ForwardResult &result)
{
    const auto took =
        std::chrono::duration_cast<Milliseconds>(m_context.timers.now() - m_forwardedAt);
    logEvent(LogLevel::Info, EventId::RelayForwardEnded,
             {{"request", m_task.request.id.text()},
              {"vm", m_forwardPeer.text()},
              {"outcome", QLatin1String(forwardOutcomeName(result.outcome))},
              {"status", QString::number(result.status)},
              {"reason", result.reason},
              {"ms", QString::number(took.count())}});
    const VmId peer = m_forwardPeer;
    leaveForwardPeer(result.outcome);
    if (m_streamOpen) {
        if (result.outcome == ForwardOutcome::Answered)
            succeed();
        else
            failStream(result.reason);
        return;
    }
    m_excludedPeers.insert(peer);
    switch (result.outcome) {
    case ForwardOutcome::Answered:
        m_ran = Ran::Yes;
        ++m_context.counters.of(m_task.route.kind).answered;
        m_reply->send({result.status, result.headers, result.body});
        finish("answered");
        break;
    case ForwardOutcome::NotRun:
        // An earlier attempt may have run all the same.
        if (m_ran != Ran::No) {
            giveUp(SendResult());
            break;
        }
        ++m_context.counters.of(m_task.route.kind).refused;
        m_reply->send({result.status, result.headers, result.body});
        finish("refused by another daemon");
        break;
    case ForwardOutcome::NotTaken:
        forwardFailed(result, Ran::No);
        break;
    case ForwardOutcome::MayHaveRun:
        // It has tried again itself as far as the kind of the request permits.
        m_ran = Ran::Maybe;
        ++m_context.counters.of(m_task.route.kind).failed;
        m_reply->send({result.status, result.headers, result.body});
        finish("failed at another daemon");
        break;
    case ForwardOutcome::Broken:
    case ForwardOutcome::Abandoned:
        forwardFailed(result, Ran::Maybe);
        break;
    }
}

void RelayRun::forwardFailed(const ForwardResult &result, Ran ran)
{
    m_ran = std::max(m_ran, ran);
    SendResult failure;
    failure.kind = ran == Ran::No ? SendResult::Kind::NotConnected : SendResult::Kind::Broken;
    failure.reason = result.reason;
    if (ran != Ran::No) {
        ++m_possibleRuns;
        ++m_arrivals;
    }
    if (!tryRetry(failure))
        giveUp(failure);
}

HttpHeaders RelayRun::answerHeaders(const HttpHeaders &headers, ForwardOutcome outcome) const
{
    return m_task.forwardedBy.isEmpty() ? headers : withForwardOutcome(headers, outcome);
}

ForwardOutcome RelayRun::failureOutcome() const
{
    if (m_ran != Ran::No)
        return ForwardOutcome::MayHaveRun;
    // The daemon that forwarded the request can try another one.
    return m_context.reach.isUnreachable(m_task.service) || m_context.shutdown
        ? ForwardOutcome::NotTaken
        : ForwardOutcome::NotRun;
}

} // namespace cranberry
