#include "delivery/AttachedAnswers.h"

#include "base/TimerService.h"
#include "base/TimerSubscription.h"
#include "delivery/AnswerSink.h"
#include "delivery/AttachMessages.h"
#include "delivery/ClaimGate.h"
#include "delivery/GenerationRequest.h"
#include "delivery/ServerSentEvents.h"
#include "delivery/TokenEvent.h"
#include "delivery/TokenSequence.h"
#include "peer/PeerNetwork.h"

namespace cranberry {

namespace {

/// The holder answers within half of this even if it has nothing; else a message was lost.
constexpr Milliseconds AnswerLimit{700};
/// Asks in a row without an answer after which the holder counts as gone.
constexpr int UnansweredAsks = 3;

} // namespace

struct AttachedAnswers::Followed {
    AttachRequestMessage next;
    VmId holder;
    std::shared_ptr<AnswerSink> sink;
    TokenSequence sequence;
    int unanswered = 0;
    bool awaiting = false;
    std::unique_ptr<TimerSubscription> answerTimer;
    std::unique_ptr<TimerSubscription> deadlineTimer;
};

AttachedAnswers::AttachedAnswers(PeerNetwork &peers, TimerService &timers)
    : m_peers(peers)
    , m_timers(timers)
{
    peers.subscribe(PeerMessageKind::AttachData, [this](const VmId &from, const QCborMap &body) {
        if (const auto message = attachDataFrom(body))
            received(from, *message);
    });
}

AttachedAnswers::~AttachedAnswers()
{
    m_peers.subscribe(PeerMessageKind::AttachData, [](const VmId &, const QCborMap &) {});
}

void AttachedAnswers::follow(const ClaimDecision &held, const GenerationRequest &request,
                             const std::shared_ptr<AnswerSink> &sink)
{
    auto followed = std::make_unique<Followed>();
    followed->next.session = request.id;
    followed->next.claimKey = request.claimKey;
    followed->next.claimAttempt = held.heldAttempt;
    followed->holder = held.holder;
    followed->sink = sink;
    const auto left = std::chrono::duration_cast<Milliseconds>(request.deadline - m_timers.now());
    followed->deadlineTimer =
        m_timers.after(std::max(left, Milliseconds(0)), [this, id = request.id] {
            const bool began = m_followed.at(id)->sequence.next > 0;
            fail(id,
                 {ErrorKind::DeadlineExceeded,
                  began ? Ran::Yes : Ran::Maybe,
                  QStringLiteral("the answer was not complete by the deadline"),
                  {},
                  {}});
        });
    Followed &added = *followed;
    m_followed[request.id] = std::move(followed);
    ask(added);
}

void AttachedAnswers::ask(Followed &followed)
{
    followed.next.from = followed.sequence.next;
    followed.awaiting = true;
    // A message that cannot be sent now is as good as lost: the timer asks again.
    m_peers.send(followed.holder, PeerMessageKind::AttachRequest, toCbor(followed.next));
    followed.answerTimer =
        m_timers.after(AnswerLimit, [this, id = followed.next.session] { unanswered(id); });
}

void AttachedAnswers::unanswered(const RequestId &session)
{
    Followed &followed = *m_followed.at(session);
    ++followed.unanswered;
    if (followed.unanswered >= UnansweredAsks)
        lost(session);
    else
        ask(followed);
}

void AttachedAnswers::received(const VmId &from, const AttachDataMessage &message)
{
    const auto found = m_followed.find(message.session);
    if (found == m_followed.end() || found->second->holder != from)
        return;
    Followed &followed = *found->second;
    // An ask that was repeated may be answered twice. Taking both would ask twice from then on.
    if (!followed.awaiting || message.from != followed.next.from)
        return;
    followed.awaiting = false;
    followed.unanswered = 0;
    followed.answerTimer.reset();
    if (message.state == AttachDataMessage::State::Unknown)
        lost(message.session);
    else if (deliver(message))
        settle(message);
}

bool AttachedAnswers::deliver(const AttachDataMessage &message)
{
    for (const AttachDataMessage::Event &event : message.events) {
        const Result<TokenEvent> token =
            parseTokenEvent({QByteArray::number(event.index), {}, event.data});
        if (!token) {
            lost(message.session);
            return false;
        }
        Followed &followed = *m_followed.at(message.session);
        const TokenVerdict verdict = acceptToken(followed.sequence, token.value().attempt,
                                                 event.index, token.value().isLast());
        if (verdict != TokenVerdict::Deliver) {
            lost(message.session);
            return false;
        }
        const std::shared_ptr<AnswerSink> sink = followed.sink;
        sink->deliver(token.value());
        if (m_followed.count(message.session) == 0)
            return false;
    }
    return true;
}

void AttachedAnswers::settle(const AttachDataMessage &message)
{
    Followed &followed = *m_followed.at(message.session);
    if (message.state == AttachDataMessage::State::Running) {
        ask(followed);
    } else if (message.state == AttachDataMessage::State::Failed) {
        fail(message.session, *message.error);
    } else if (followed.sequence.complete) {
        take(message.session)->finished();
    } else {
        lost(message.session);
    }
}

void AttachedAnswers::lost(const RequestId &session)
{
    const bool began = m_followed.at(session)->sequence.next > 0;
    fail(session,
         {began ? ErrorKind::GenerationLost : ErrorKind::OutcomeUnknown,
          began ? Ran::Yes : Ran::Maybe,
          QStringLiteral("an earlier request holds this key and its answer is not at hand"),
          {},
          {}});
}

void AttachedAnswers::fail(const RequestId &session, const Error &error)
{
    take(session)->failed(error);
}

void AttachedAnswers::leave(const AnswerSink *sink)
{
    for (const auto &[id, followed] : m_followed) {
        if (followed->sink.get() != sink)
            continue;
        const std::shared_ptr<AnswerSink> kept = take(RequestId(id));
        return;
    }
}

std::shared_ptr<AnswerSink> AttachedAnswers::take(const RequestId &session)
{
    const auto found = m_followed.find(session);
    const std::unique_ptr<Followed> ended = std::move(found->second);
    m_followed.erase(found);
    ended->next.done = true;
    m_peers.send(ended->holder, PeerMessageKind::AttachRequest, toCbor(ended->next));
    return ended->sink;
}

} // namespace cranberry
