// Defines AttachServer, which lets other daemons follow the at-most-once runs of this one.
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

/// Each message asks for events from a number on and is answered once: as soon as there are
/// any, or with none after a while. So the follower sets the pace, what is on the way stays
/// bounded, and a lost message is made good by asking again.
/// Thread safety: only from the thread of the event loop.
class AttachServer
{
public:
    /// Preconditions: all outlive the holder; nobody else subscribes to AttachRequest.
    AttachServer(PeerNetwork &peers, TimerService &timers, RunRegistry &runs);
    ~AttachServer();
    AttachServer(const AttachServer &) = delete;
    AttachServer &operator=(const AttachServer &) = delete;

    /// Followers that have not got everything yet, as far as is known.
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
