#include "delivery/AttachClient.h"

#include "base/TimerService.h"
#include "base/TimerSubscription.h"
#include "delivery/AnswerSink.h"
#include "delivery/AttachMessages.h"
#include "delivery/ClaimService.h"
#include "delivery/GenerationRequest.h"
#include "delivery/ServerSentEventParser.h"
#include "delivery/TokenEvent.h"
#include "delivery/TokenSequence.h"
#include "peer/PeerNetwork.h"

namespace cranberry {

namespace {

/// The claim holder answers within half of this time even without events. After this time the
/// request or the reply counts as lost.
constexpr Milliseconds ReplyTimeout{700};
/// Consecutive requests without a reply after which the claim holder counts as gone.
constexpr int MaxUnansweredRequests = 3;

} // namespace

struct AttachClient::RemoteAnswer {
    AttachRequestMessage nextRequest;
    VmId holder;
    std::shared_ptr<AnswerSink> sink;
    TokenSequence sequence;
    int unansweredRequests = 0;
    bool isAwaitingReply = false;
    std::unique_ptr<TimerSubscription> replyTimer;
    std::unique_ptr<TimerSubscription> deadlineTimer;
};

AttachClient::AttachClient(PeerNetwork &peers, TimerService &timers)
    : m_peers(peers)
    , m_timers(timers)
{
    peers.subscribe(PeerMessageKind::AttachData, [this](const VmId &from, const QCborMap &body) {
        if (const auto message = attachDataFrom(body))
            dataReceived(from, *message);
    });
}

AttachClient::~AttachClient()
{
    m_peers.subscribe(PeerMessageKind::AttachData, [](const VmId &, const QCborMap &) {});
}

void AttachClient::follow(const ClaimDecision &held, const GenerationRequest &request,
                          const std::shared_ptr<AnswerSink> &sink)
{
    auto answer = std::make_unique<RemoteAnswer>();
    answer->nextRequest.session = request.id;
    answer->nextRequest.claimKey = request.claimKey;
    answer->nextRequest.claimAttempt = held.holderAttempt;
    answer->holder = held.holder;
    answer->sink = sink;
    const auto remaining =
        std::chrono::duration_cast<Milliseconds>(request.deadline - m_timers.now());
    answer->deadlineTimer =
        m_timers.after(std::max(remaining, Milliseconds(0)), [this, id = request.id] {
            const bool began = m_answers.at(id)->sequence.next > 0;
            fail(id,
                 {ErrorKind::DeadlineExceeded,
                  began ? Ran::Yes : Ran::Maybe,
                  QStringLiteral("the deadline passed before the answer was complete"),
                  {},
                  {}});
        });
    RemoteAnswer &added = *answer;
    m_answers[request.id] = std::move(answer);
    requestEvents(added);
}

void AttachClient::requestEvents(RemoteAnswer &answer)
{
    answer.nextRequest.from = answer.sequence.next;
    answer.isAwaitingReply = true;
    // A message that cannot be sent is treated like a lost one: the timer repeats the request.
    m_peers.send(answer.holder, PeerMessageKind::AttachRequest, toCbor(answer.nextRequest));
    answer.replyTimer = m_timers.after(
        ReplyTimeout, [this, id = answer.nextRequest.session] { requestTimedOut(id); });
}

void AttachClient::requestTimedOut(const RequestId &session)
{
    RemoteAnswer &answer = *m_answers.at(session);
    ++answer.unansweredRequests;
    if (answer.unansweredRequests >= MaxUnansweredRequests)
        holderLost(session);
    else
        requestEvents(answer);
}

void AttachClient::dataReceived(const VmId &from, const AttachDataMessage &message)
{
    const auto found = m_answers.find(message.session);
    if (found == m_answers.end() || found->second->holder != from)
        return;
    RemoteAnswer &answer = *found->second;
    // A repeated request may be answered twice. Accepting both replies would double the requests
    // from then on.
    if (!answer.isAwaitingReply || message.from != answer.nextRequest.from)
        return;
    answer.isAwaitingReply = false;
    answer.unansweredRequests = 0;
    answer.replyTimer.reset();
    if (message.state == AttachDataMessage::State::Unknown)
        holderLost(message.session);
    else if (deliver(message))
        continueOrFinish(message);
}

bool AttachClient::deliver(const AttachDataMessage &message)
{
    for (const AttachDataMessage::Event &event : message.events) {
        const Result<TokenEvent> token =
            parseTokenEvent({QByteArray::number(event.index), {}, event.data});
        if (!token) {
            holderLost(message.session);
            return false;
        }
        RemoteAnswer &answer = *m_answers.at(message.session);
        const TokenVerdict verdict = acceptToken(answer.sequence, token.value().attempt,
                                                 event.index, token.value().isLast());
        if (verdict != TokenVerdict::Deliver) {
            holderLost(message.session);
            return false;
        }
        const std::shared_ptr<AnswerSink> sink = answer.sink;
        sink->deliver(token.value());
        if (m_answers.count(message.session) == 0)
            return false;
    }
    return true;
}

void AttachClient::continueOrFinish(const AttachDataMessage &message)
{
    RemoteAnswer &answer = *m_answers.at(message.session);
    if (message.state == AttachDataMessage::State::Running) {
        requestEvents(answer);
    } else if (message.state == AttachDataMessage::State::Failed) {
        fail(message.session, *message.error);
    } else if (answer.sequence.complete) {
        endSession(message.session)->finished();
    } else {
        holderLost(message.session);
    }
}

void AttachClient::holderLost(const RequestId &session)
{
    const bool began = m_answers.at(session)->sequence.next > 0;
    fail(session,
         {began ? ErrorKind::GenerationLost : ErrorKind::OutcomeUnknown,
          began ? Ran::Yes : Ran::Maybe,
          QStringLiteral("an earlier request used this key and its answer is not available"),
          {},
          {}});
}

void AttachClient::fail(const RequestId &session, const Error &error)
{
    endSession(session)->failed(error);
}

void AttachClient::detach(const AnswerSink *sink)
{
    for (const auto &[id, answer] : m_answers) {
        if (answer->sink.get() != sink)
            continue;
        const std::shared_ptr<AnswerSink> kept = endSession(RequestId(id));
        return;
    }
}

std::shared_ptr<AnswerSink> AttachClient::endSession(const RequestId &session)
{
    const auto found = m_answers.find(session);
    const std::unique_ptr<RemoteAnswer> ended = std::move(found->second);
    m_answers.erase(found);
    ended->nextRequest.done = true;
    m_peers.send(ended->holder, PeerMessageKind::AttachRequest, toCbor(ended->nextRequest));
    return ended->sink;
}

} // namespace cranberry
