#pragma once

#include "base/Ids.h"
#include "base/Units.h"

#include <map>
#include <memory>

namespace cranberry {

class GenerationRun;
class PeerNetwork;
class RunRegistry;
class TimerService;
class TimerSubscription;
struct AttachRequestMessage;

/// Streams the events of this daemon's at-most-once runs to followers, which are other daemons
/// whose callers repeat the key of such a run. A follower polls: each request names the index of
/// the first event it needs and is answered once, as soon as that event exists or without events
/// after a timeout. The follower thereby controls the flow, the data in flight is bounded, and a
/// lost message is recovered by repeating the request.
/// Thread safety: only from the event loop thread.
class AttachServer
{
public:
    /// Preconditions: all references outlive the server; nothing else subscribes to
    /// AttachRequest.
    AttachServer(PeerNetwork &peers, TimerService &timers, RunRegistry &runs);
    ~AttachServer();
    AttachServer(const AttachServer &) = delete;
    AttachServer &operator=(const AttachServer &) = delete;

    /// Number of followers that have not reported the end of their session and not timed out.
    int followers() const { return int(m_sessions.size()); }

private:
    struct Session;

    void requestReceived(const VmId &from, const AttachRequestMessage &message);
    Session *findOrCreateSession(const VmId &from, const AttachRequestMessage &message);
    void sendIfAvailable(Session &session);
    void sendData(Session &session);
    void remove(const RequestId &session);
    void sweep();

    PeerNetwork &m_peers;
    TimerService &m_timers;
    RunRegistry &m_runs;
    std::map<RequestId, std::unique_ptr<Session>> m_sessions;
    std::unique_ptr<TimerSubscription> m_sweepTimer;
};

} // namespace cranberry
