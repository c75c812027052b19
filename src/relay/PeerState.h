// Defines PeerState, by which daemons that the store turns away learn from those that it serves.
#pragma once

#include "base/Ids.h"
#include "base/Units.h"
#include "relay/StalenessPlan.h"

#include <QByteArray>

#include <functional>
#include <map>
#include <memory>

class QCborMap;
class QCborValue;

namespace cranberry {

class CallerReply;
class HttpClient;
class HttpExchange;
class PeerDirectory;
class StoreMirror;
class TimerService;
class TimerSubscription;
struct HttpRequest;
struct Peer;
struct RelayCounters;

/// Answers what this daemon holds of the store, and asks another daemon for it while the store
/// cannot be reached. A daemon cut off from the store would else go on with routes and keys that
/// were taken away, and lose the streams of targets that leave.
/// Thread safety: only from the thread of the event loop.
class PeerState
{
public:
    /// How old this daemon's copies may be.
    struct Staleness {
        std::function<StalenessView()> configuration;
        std::function<StalenessView()> targets;
    };

    /// Precondition: everything passed outlives the object.
    PeerState(TimerService &timers, HttpClient &client, PeerDirectory &peers,
              StoreMirror &configuration, StoreMirror &entries, RelayCounters &counters,
              Staleness staleness);
    ~PeerState();

    /// Asks @p peer after a short while for what it has that is newer than what is here; nothing
    /// if another daemon is being asked.
    void askSoon(const Peer &peer);
    /// Answers another daemon.
    void handle(const HttpRequest &request, const std::shared_ptr<CallerReply> &reply) const;

private:
    bool isStale(const std::function<StalenessView()> &staleness) const;
    void askIfAway();
    void ask(const Peer &peer);
    void answered(const VmId &vm, const QByteArray &body, bool hasEntries, MonotonicTime asked);

    TimerService &m_timers;
    HttpClient &m_client;
    PeerDirectory &m_peers;
    StoreMirror &m_configuration;
    StoreMirror &m_entries;
    RelayCounters &m_counters;
    Staleness m_staleness;
    /// Those not answered yet, by their numbers.
    std::map<int, std::unique_ptr<HttpExchange>> m_questions;
    int m_asked = 0;
    std::unique_ptr<TimerSubscription> m_soon;
    /// Pause between questions while the store is away.
    Milliseconds m_pause;
    MonotonicTime m_nextQuestion;
    std::unique_ptr<TimerSubscription> m_timer;
};

} // namespace cranberry
