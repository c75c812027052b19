#include "delivery/AttachHolder.h"

#include "base/TimerService.h"
#include "base/TimerSubscription.h"
#include "delivery/AnswerSink.h"
#include "delivery/AttachMessages.h"
#include "delivery/GenerationRun.h"
#include "delivery/RunRegistry.h"
#include "peer/PeerNetwork.h"

#include <vector>

namespace cranberry {

namespace {

/// Events of one message; a frame holds several times as much.
constexpr qsizetype MessageBytes = 128 * 1024;
/// A larger event cannot be sent within the bound of a frame.
constexpr qsizetype LargestEventBytes = 512 * 1024;
constexpr Milliseconds SweepInterval{100};
/// An ask is answered after this time even if nothing has come, to show that the holder lives.
constexpr Milliseconds LongestSilence{300};
/// A follower that has not asked for so long is gone.
constexpr Milliseconds FollowerLimit{4000};

/// Tells that the run has something new; the events are read from the run.
class WakeSink final : public AnswerSink
{
public:
    explicit WakeSink(std::function<void()> wake)
        : m_wake(std::move(wake))
    {
    }
    void deliver(const TokenEvent &) override { m_wake(); }
    void finished() override { m_wake(); }
    void failed(const Error &) override { m_wake(); }

private:
    std::function<void()> m_wake;
};

AttachDataMessage dataOf(const GenerationRun &run, qint64 from)
{
    AttachDataMessage message;
    message.from = from;
    const QList<TokenEvent> &events = run.events();
    qsizetype bytes = 0;
    qint64 next = from;
    for (; next < events.size() && bytes < MessageBytes; ++next) {
        const TokenEvent &event = events.at(next);
        if (event.data.size() > LargestEventBytes) {
            message.state = AttachDataMessage::State::Unknown;
            return message;
        }
        message.events.append({event.index, event.data});
        bytes += event.data.size();
    }
    if (next < events.size())
        return message;
    if (run.failure()) {
        message.state = AttachDataMessage::State::Failed;
        message.error = run.failure();
    } else if (run.isWhole()) {
        message.state = AttachDataMessage::State::Whole;
    }
    return message;
}

} // namespace

struct AttachHolder::Session {
    RequestId id;
    VmId follower;
    std::shared_ptr<GenerationRun> run;
    std::shared_ptr<AnswerSink> sink;
    /// The number of the ask that is not answered yet.
    std::optional<qint64> asked;
    MonotonicTime askedAt;
};

AttachHolder::AttachHolder(PeerNetwork &peers, TimerService &timers, RunRegistry &runs)
    : m_peers(peers)
    , m_timers(timers)
    , m_runs(runs)
    , m_sweep(timers.every(SweepInterval, [this] { sweep(); }))
{
    peers.subscribe(PeerMessageKind::AttachRequest, [this](const VmId &from, const QCborMap &body) {
        if (const auto message = attachRequestFrom(body))
            requested(from, *message);
    });
}

AttachHolder::~AttachHolder()
{
    m_peers.subscribe(PeerMessageKind::AttachRequest, [](const VmId &, const QCborMap &) {});
}

void AttachHolder::requested(const VmId &from, const AttachRequestMessage &message)
{
    if (message.done) {
        remove(message.session);
        return;
    }
    Session *session = sessionFor(from, message);
    if (!session) {
        AttachDataMessage unknown;
        unknown.session = message.session;
        unknown.from = message.from;
        unknown.state = AttachDataMessage::State::Unknown;
        m_peers.send(from, PeerMessageKind::AttachData, toCbor(unknown));
        return;
    }
    session->asked = message.from;
    session->askedAt = m_timers.now();
    answerIfAny(*session);
}

AttachHolder::Session *AttachHolder::sessionFor(const VmId &from,
                                                const AttachRequestMessage &message)
{
    const auto known = m_sessions.find(message.session);
    if (known != m_sessions.end())
        return known->second.get();
    const std::shared_ptr<GenerationRun> run = m_runs.findByClaim(message.claimKey);
    if (!run || run->claimAttempt() != message.claimAttempt)
        return nullptr;
    auto session = std::make_unique<Session>();
    session->id = message.session;
    session->follower = from;
    session->run = run;
    Session *added = session.get();
    session->sink = std::make_shared<WakeSink>([this, added] { answerIfAny(*added); });
    m_sessions.emplace(message.session, std::move(session));
    run->attach(added->sink);
    return added;
}

void AttachHolder::answerIfAny(Session &session)
{
    const GenerationRun &run = *session.run;
    const bool any =
        session.asked && (*session.asked < run.events().size() || run.isWhole() || run.failure());
    if (any)
        answer(session);
}

void AttachHolder::answer(Session &session)
{
    AttachDataMessage message = dataOf(*session.run, *session.asked);
    message.session = session.id;
    session.asked.reset();
    m_peers.send(session.follower, PeerMessageKind::AttachData, toCbor(message));
}

void AttachHolder::remove(const RequestId &session)
{
    const auto found = m_sessions.find(session);
    if (found == m_sessions.end())
        return;
    found->second->run->detach(found->second->sink.get());
    m_sessions.erase(found);
}

void AttachHolder::sweep()
{
    const MonotonicTime now = m_timers.now();
    std::vector<RequestId> gone;
    for (const auto &[id, session] : m_sessions) {
        if (now - session->askedAt >= FollowerLimit)
            gone.push_back(id);
        else if (session->asked && now - session->askedAt >= LongestSilence)
            answer(*session);
    }
    for (const RequestId &id : gone)
        remove(id);
}

} // namespace cranberry
