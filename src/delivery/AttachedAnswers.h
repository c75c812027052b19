// Defines AttachedAnswers, the answers that this daemon's callers get from another one's runs.
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
class AttachedAnswers
{
public:
    /// Preconditions: all outlive the object; nobody else subscribes to AttachData.
    AttachedAnswers(PeerNetwork &peers, TimerService &timers);
    ~AttachedAnswers();
    AttachedAnswers(const AttachedAnswers &) = delete;
    AttachedAnswers &operator=(const AttachedAnswers &) = delete;

    /// Answers @p request to @p sink with the run that @p held names.
    void follow(const ClaimDecision &held, const GenerationRequest &request,
                const std::shared_ptr<AnswerSink> &sink);
    /// The caller behind @p sink has gone. Ignored if unknown.
    void leave(const AnswerSink *sink);
    /// Answers that are not complete.
    int running() const { return int(m_followed.size()); }

private:
    struct Followed;

    void ask(Followed &followed);
    void unanswered(const RequestId &session);
    void received(const VmId &from, const AttachDataMessage &message);
    /// False if the caller has gone meanwhile.
    bool deliver(const AttachDataMessage &message);
    void settle(const AttachDataMessage &message);
    void lost(const RequestId &session);
    void fail(const RequestId &session, const Error &error);
    std::shared_ptr<AnswerSink> take(const RequestId &session);

    PeerNetwork &m_peers;
    TimerService &m_timers;
    std::map<RequestId, std::unique_ptr<Followed>> m_followed;
};

} // namespace cranberry
