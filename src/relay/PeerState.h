#pragma once

#include "base/Ids.h"
#include "base/Units.h"
#include "relay/CompressedItemsCache.h"
#include "relay/StalenessPlan.h"

#include <QByteArray>

#include <functional>
#include <map>
#include <memory>
#include <optional>

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
enum class HttpExchangeEnd;
struct HttpRequest;
struct HttpResponse;
struct Peer;
struct RelayCounters;

/// Lets a daemon that the store refuses get the contents of the store from one that it serves:
/// serves this daemon's copies to other daemons, and requests theirs while the store cannot be
/// reached. Otherwise a daemon cut off from the store would continue to use removed routes and
/// revoked keys, and would lose the streams of targets that leave.
/// Thread safety: only from the thread of the event loop.
class PeerState
{
public:
    /// The staleness of this daemon's copies.
    struct Staleness {
        std::function<StalenessView()> configuration;
        std::function<StalenessView()> targets;
    };

    /// Precondition: everything passed outlives the object.
    PeerState(TimerService &timers, HttpClient &client, PeerDirectory &peers,
              StoreMirror &configuration, StoreMirror &entries, RelayCounters &counters,
              Staleness staleness);
    ~PeerState();

    /// Fetches newer contents from @p peer after a short random delay. Does nothing if a fetch is
    /// already scheduled or in progress.
    void scheduleFetch(const Peer &peer);
    /// Handles the request of another daemon.
    void handle(const HttpRequest &request, const std::shared_ptr<CallerReply> &reply) const;

private:
    bool isStale(const std::function<StalenessView()> &staleness) const;
    void askIfStale();
    bool needsEntries() const;
    /// Requests the ages and revisions of the copies of @p peer, without their contents.
    void askForRevisions(const Peer &peer);
    void handleRevisions(const Peer &peer, const QCborMap &state, MonotonicTime asked);
    /// Requests the contents that changed since this daemon's revisions from @p peer.
    /// Precondition: no fetch is in progress.
    void fetchContents(const Peer &peer);
    void handleContents(const VmId &vm, const QCborMap &state, qsizetype bytes, bool hasEntries,
                        MonotonicTime asked);
    /// Decodes the response of @p vm and updates the counters. Logs failures and returns nullopt
    /// for them.
    std::optional<QCborMap> decodeResponse(const VmId &vm, HttpExchangeEnd end,
                                           const HttpResponse &response, MonotonicTime asked);

    TimerService &m_timers;
    HttpClient &m_client;
    PeerDirectory &m_peers;
    StoreMirror &m_configuration;
    StoreMirror &m_entries;
    RelayCounters &m_counters;
    /// Reused across responses, as most daemons that ask after a change lack the same items.
    mutable CompressedItemsCache m_compressedConfiguration;
    mutable CompressedItemsCache m_compressedEntries;
    Staleness m_staleness;
    /// The fetch in progress, if any. Limited to one, as concurrent fetches would compete for this
    /// daemon's link.
    std::unique_ptr<HttpExchange> m_fetch;
    /// Pending requests for revisions, by number.
    std::map<int, std::unique_ptr<HttpExchange>> m_revisionRequests;
    int m_lastRequestNumber = 0;
    std::unique_ptr<TimerSubscription> m_fetchTimer;
    /// The pause between requests while the store is unavailable.
    Milliseconds m_pause;
    MonotonicTime m_nextAsk;
    std::unique_ptr<TimerSubscription> m_timer;
};

} // namespace cranberry
