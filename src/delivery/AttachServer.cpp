#include "delivery/AttachServer.h"

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

/// Event data per message after which no further event is added. A peer frame holds several
/// times as much.
constexpr qsizetype MaxMessageBytes = 128 * 1024;
/// A larger event does not fit into a peer frame with the rest of its message.
constexpr qsizetype MaxEventBytes = 512 * 1024;
constexpr Milliseconds SweepInterval{100};
/// A request is answered after this time even without events, to show that the daemon is alive.
constexpr Milliseconds MaxReplyDelay{300};
/// A follower that sends no request for this time counts as gone.
constexpr Milliseconds FollowerTimeout{4000};

/// Signals that the run has progressed. The events themselves are read from the run.
class NotifySink final : public AnswerSink
{
public:
    explicit NotifySink(std::function<void()> notify)
        : m_notify(std::move(notify))
    {
    }
    void deliver(const TokenEvent &) override { m_notify(); }
    void finished() override { m_notify(); }
    void failed(const Error &) override { m_notify(); }

private:
    std::function<void()> m_notify;
};

AttachDataMessage attachDataFor(const GenerationRun &run, qint64 from)
{
    AttachDataMessage message;
    message.from = from;
    const QList<TokenEvent> &events = run.events();
    qsizetype bytes = 0;
    qint64 next = from;
    for (; next < events.size() && bytes < MaxMessageBytes; ++next) {
        const TokenEvent &event = events.at(next);
        if (event.data.size() > MaxEventBytes) {
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
    } else if (run.isComplete()) {
        message.state = AttachDataMessage::State::Complete;
    }
    return message;
}

} // namespace

struct AttachServer::Session {
    RequestId id;
    VmId follower;
    std::shared_ptr<GenerationRun> run;
    std::shared_ptr<AnswerSink> sink;
    /// First event index of the request that is not answered yet.
    std::optional<qint64> pendingFrom;
    MonotonicTime lastRequestTime;
};

AttachServer::AttachServer(PeerNetwork &peers, TimerService &timers, RunRegistry &runs)
    : m_peers(peers)
    , m_timers(timers)
    , m_runs(runs)
    , m_sweepTimer(timers.every(SweepInterval, [this] { sweep(); }))
{
    peers.subscribe(PeerMessageKind::AttachRequest, [this](const VmId &from, const QCborMap &body) {
        if (const auto message = attachRequestFrom(body))
            requestReceived(from, *message);
    });
}

AttachServer::~AttachServer()
{
    m_peers.subscribe(PeerMessageKind::AttachRequest, [](const VmId &, const QCborMap &) {});
}

void AttachServer::requestReceived(const VmId &from, const AttachRequestMessage &message)
{
    if (message.done) {
        remove(message.session);
        return;
    }
    Session *session = findOrCreateSession(from, message);
    if (!session) {
        AttachDataMessage unknown;
        unknown.session = message.session;
        unknown.from = message.from;
        unknown.state = AttachDataMessage::State::Unknown;
        m_peers.send(from, PeerMessageKind::AttachData, toCbor(unknown));
        return;
    }
    session->pendingFrom = message.from;
    session->lastRequestTime = m_timers.now();
    sendIfAvailable(*session);
}

AttachServer::Session *AttachServer::findOrCreateSession(const VmId &from,
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
    session->sink = std::make_shared<NotifySink>([this, added] { sendIfAvailable(*added); });
    m_sessions.emplace(message.session, std::move(session));
    run->attach(added->sink);
    return added;
}

void AttachServer::sendIfAvailable(Session &session)
{
    const GenerationRun &run = *session.run;
    const bool isAvailable = session.pendingFrom
        && (*session.pendingFrom < run.events().size() || run.isComplete() || run.failure());
    if (isAvailable)
        sendData(session);
}

void AttachServer::sendData(Session &session)
{
    AttachDataMessage message = attachDataFor(*session.run, *session.pendingFrom);
    message.session = session.id;
    session.pendingFrom.reset();
    m_peers.send(session.follower, PeerMessageKind::AttachData, toCbor(message));
}

void AttachServer::remove(const RequestId &session)
{
    const auto found = m_sessions.find(session);
    if (found == m_sessions.end())
        return;
    found->second->run->detach(found->second->sink.get());
    m_sessions.erase(found);
}

void AttachServer::sweep()
{
    const MonotonicTime now = m_timers.now();
    std::vector<RequestId> expired;
    for (const auto &[id, session] : m_sessions) {
        if (now - session->lastRequestTime >= FollowerTimeout)
            expired.push_back(id);
        else if (session->pendingFrom && now - session->lastRequestTime >= MaxReplyDelay)
            sendData(*session);
    }
    for (const RequestId &id : expired)
        remove(id);
}

} // namespace cranberry
