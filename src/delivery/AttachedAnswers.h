// Defines AttachClient, the answers that this daemon's callers get from another one's runs.
#pragma once

#include "base/Ids.h"
#include "base/Units.h"

#include <map>
#include <memory>

namespace cranberry {

class AnswerSink;
class PeerNetwork;
class TimerService;
class TimerSubscription;
struct AttachDataMessage;
struct ClaimDecision;
struct Error;
struct GenerationRequest;

/// Follows the run that holds a key, from its first event on, and hands its events on, each
/// once and in order. If the holder is gone or does not know the run, what became of the
/// request is unknown and its caller is told so.
/// Thread safety: only from the thread of the event loop.
class AttachClient
{
public:
    /// Preconditions: all outlive the object; nobody else subscribes to AttachData.
    AttachClient(PeerNetwork &peers, TimerService &timers);
    ~AttachClient();
    AttachClient(const AttachClient &) = delete;
    AttachClient &operator=(const AttachClient &) = delete;

    /// Answers @p request to @p sink with the run that @p held names.
    void follow(const ClaimDecision &held, const GenerationRequest &request,
                const std::shared_ptr<AnswerSink> &sink);
    /// The caller behind @p sink has gone. Ignored if unknown.
    void detach(const AnswerSink *sink);
    /// Answers that are not complete.
    int running() const { return int(m_answers.size()); }

private:
    struct RemoteAnswer;

    void requestEvents(RemoteAnswer &answer);
    void requestTimedOut(const RequestId &session);
    void dataReceived(const VmId &from, const AttachDataMessage &message);
    /// False if the caller has gone meanwhile.
    bool deliver(const AttachDataMessage &message);
    void continueOrFinish(const AttachDataMessage &message);
    void holderLost(const RequestId &session);
    void fail(const RequestId &session, const Error &error);
    std::shared_ptr<AnswerSink> endSession(const RequestId &session);

    PeerNetwork &m_peers;
    TimerService &m_timers;
    std::map<RequestId, std::unique_ptr<RemoteAnswer>> m_answers;
};

} // namespace cranberry
