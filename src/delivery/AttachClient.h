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

/// Answers callers of this daemon from runs of other daemons. Follows the run that holds a claim
/// key from its first event on and delivers each event once and in order. If the claim holder is
/// unreachable or does not have the run, the outcome of the request is unknown and the caller
/// receives an error that says so.
/// Thread safety: only from the event loop thread.
class AttachClient
{
public:
    /// Preconditions: all references outlive the object; nothing else subscribes to AttachData.
    AttachClient(PeerNetwork &peers, TimerService &timers);
    ~AttachClient();
    AttachClient(const AttachClient &) = delete;
    AttachClient &operator=(const AttachClient &) = delete;

    /// Delivers the run that @p held names to @p sink, as the answer to @p request.
    void follow(const ClaimDecision &held, const GenerationRequest &request,
                const std::shared_ptr<AnswerSink> &sink);
    /// Ends the session of @p sink after its caller has disconnected. Ignored if unknown.
    void detach(const AnswerSink *sink);
    /// Number of answers that are not complete.
    int running() const { return int(m_answers.size()); }

private:
    struct RemoteAnswer;

    void requestEvents(RemoteAnswer &answer);
    void requestTimedOut(const RequestId &session);
    void dataReceived(const VmId &from, const AttachDataMessage &message);
    /// Returns false if the session has ended meanwhile.
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
