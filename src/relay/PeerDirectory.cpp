#include "relay/PeerDirectory.h"

#include "base/EventLog.h"
#include "base/StableHash.h"
#include "base/TimerService.h"
#include "base/TimerSubscription.h"
#include "http/HttpClient.h"
#include "relay/RelayCounters.h"
#include "relay/StateResponses.h"
#include "relay/StoreProtocol.h"

#include <QJsonDocument>
#include <QJsonObject>
#include <QSet>

#include <algorithm>

namespace cranberry {

namespace {

/// Each renewal costs a call. A daemon that died without notice stays listed for this time, and
/// messages to it are lost. Daemons that expect messages of it drop it after SilenceTimeout.
constexpr Milliseconds LeaseDuration{120000};
constexpr Milliseconds RenewInterval{40000};
constexpr Milliseconds MinRetryInterval{1000};
constexpr Milliseconds MaxRetryInterval{4000};
constexpr Milliseconds CallTimeout{1500};
/// All daemons of a fleet start within a second, and a list may be some seconds old. After that few
/// daemons join or leave, and those that join send a hello to the daemons listed.
constexpr Milliseconds FirstListDelay{1500};
constexpr Milliseconds SecondListDelay{4000};
constexpr Milliseconds ListInterval{60000};
/// How long a daemon is kept after it was last listed or heard: two failed lists.
constexpr Milliseconds UnseenTimeout{150000};
/// How long a daemon is kept without a message of it, where daemons exchange messages.
constexpr Milliseconds SilenceTimeout{30000};
/// Daemons send a message at least every 1.5 s.
constexpr Milliseconds HeardTimeout{4000};
/// Up to this many peers, every daemon sends to all others. With more, the number of datagrams
/// grows with the square of the fleet.
constexpr int MaxSmallFleetPeers = 100;
constexpr int StatusOk = 200;
const QString PeerPrefix = QStringLiteral("cranberry/vm/");

QByteArray encoded(const Peer &peer)
{
    const QJsonObject json{{QStringLiteral("data_centre"), peer.dataCentre.text()},
                           {QStringLiteral("address"), peer.endpoint.address},
                           {QStringLiteral("port"), peer.endpoint.port}};
    return QJsonDocument(json).toJson(QJsonDocument::Compact);
}

Peer decoded(const StoreItem &item)
{
    const QJsonObject json = QJsonDocument::fromJson(item.value).object();
    Peer peer;
    peer.vm = VmId(item.key.mid(PeerPrefix.size()));
    peer.dataCentre = DataCentreId(json.value(QStringLiteral("data_centre")).toString());
    peer.endpoint.address = json.value(QStringLiteral("address")).toString();
    peer.endpoint.port = quint16(json.value(QStringLiteral("port")).toInt());
    return peer;
}

} // namespace

PeerDirectory::PeerDirectory(TimerService &timers, HttpClient &client, const HttpEndpoint &store,
                             const StoreProtocol &protocol, RelayCounters &counters, Peer self)
    : m_timers(timers)
    , m_client(client)
    , m_store(store)
    , m_protocol(protocol)
    , m_counters(counters)
    , m_self(std::move(self))
{
}

PeerDirectory::~PeerDirectory() = default;

void PeerDirectory::start(bool isFirstStart)
{
    announce();
    const Milliseconds delay = isFirstStart ? FirstListDelay : Milliseconds(0);
    m_listTimer = m_timers.after(delay, [this] { requestList(); });
}

void PeerDirectory::call(const HttpRequest &request,
                         std::function<void(const HttpResponse &)> callback)
{
    ++m_counters.storeCalls;
    HttpExchangeOptions options;
    options.connectTimeout = CallTimeout;
    options.timeout = CallTimeout;
    m_announcing = m_client.fetch(
        m_store, request, options,
        [callback = std::move(callback)](HttpExchangeEnd end, const HttpResponse &response) {
            callback(end == HttpExchangeEnd::Complete ? response : HttpResponse());
        });
}

void PeerDirectory::scheduleAnnounce(bool isAnnounced)
{
    m_retryInterval =
        isAnnounced ? MinRetryInterval : std::min(2 * m_retryInterval, MaxRetryInterval);
    const Milliseconds delay = isAnnounced ? RenewInterval : m_retryInterval;
    m_announceTimer = m_timers.after(delay, [this] { announce(); });
}

void PeerDirectory::announce()
{
    if (m_isLeaving)
        return;
    if (!m_lease) {
        call(m_protocol.grantLease(LeaseDuration),
             [this](const HttpResponse &response) { handleLease(response); });
        return;
    }
    call(m_protocol.renewLease(*m_lease), [this](const HttpResponse &response) {
        // An expired lease took its key with it: both are created again.
        const bool isRenewed = response.status == StatusOk;
        if (!isRenewed)
            m_lease.reset();
        scheduleAnnounce(isRenewed);
    });
}

void PeerDirectory::handleLease(const HttpResponse &response)
{
    const Result<LeaseId> lease = m_protocol.readLease(response);
    if (!lease) {
        scheduleAnnounce(false);
        return;
    }
    call(m_protocol.writeKey(PeerPrefix + m_self.vm.text(), encoded(m_self), lease.value()),
         [this, lease = lease.value()](const HttpResponse &written) {
             const bool isWritten = written.status == StatusOk;
             if (isWritten)
                 m_lease = lease;
             scheduleAnnounce(isWritten);
         });
}

void PeerDirectory::drain()
{
    m_self.isDraining = true;
}

void PeerDirectory::leave()
{
    m_isLeaving = true;
    if (m_lease)
        call(m_protocol.endLease(*m_lease), [](const HttpResponse &) {});
}

void PeerDirectory::requestList()
{
    ++m_counters.storeCalls;
    ++m_listCount;
    HttpExchangeOptions options;
    options.connectTimeout = CallTimeout;
    options.timeout = CallTimeout;
    options.maxWithoutRoom = StateWithoutRoom;
    m_listing = m_client.fetch(m_store, m_protocol.staleRange(PeerPrefix), options,
                               [this](HttpExchangeEnd end, const HttpResponse &response) {
                                   handleList(end == HttpExchangeEnd::Complete
                                                  ? m_protocol.readItems(response)
                                                  : StoreAnswer());
                               });
    m_listTimer = m_timers.after(m_listCount == 1 ? SecondListDelay : ListInterval,
                                 [this] { requestList(); });
}

void PeerDirectory::handleList(const StoreAnswer &answer)
{
    if (answer.kind != StoreAnswer::Kind::Items) {
        logEvent(LogLevel::Warning, EventId::PeerListFailed,
                 {{"known", QString::number(m_peers.size())}});
        return;
    }
    m_hasListed = true;
    m_lastListed = m_timers.now();
    const qsizetype before = m_peers.size();
    QList<Peer> joined;
    for (const StoreItem &item : answer.items) {
        const Peer peer = decoded(item);
        if (peer.dataCentre == m_self.dataCentre && !m_peers.contains(peer.vm))
            joined.append(peer);
        handleListedPeer(peer);
    }
    logEvent(LogLevel::Info, EventId::PeersListed,
             {{"listed", QString::number(answer.items.size())},
              {"new", QString::number(m_peers.size() - before)}});
    if (m_localPeersJoined)
        m_localPeersJoined(joined);
}

void PeerDirectory::handleListedPeer(Peer peer)
{
    // The store does not tell whether the daemon is about to end.
    const auto known = m_peers.constFind(peer.vm);
    if (known != m_peers.cend()) {
        peer.isDraining = known->isDraining;
        peer.configurationVersion = known->configurationVersion;
        peer.unreachable = known->unreachable;
    }
    recordPeer(peer);
}

void PeerDirectory::recordMessage(const Peer &peer)
{
    const bool isNewLocalPeer =
        peer.dataCentre == m_self.dataCentre && !m_peers.contains(peer.vm) && peer.vm != m_self.vm;
    recordPeer(peer);
    const auto known = m_peers.find(peer.vm);
    if (known != m_peers.end())
        known->lastMessage = m_timers.now();
    // The hello is answered, so that both daemons know of each other at once.
    if (isNewLocalPeer && m_localPeersJoined)
        m_localPeersJoined({peer});
}

int PeerDirectory::rankAmong(const QList<Peer> &peers) const
{
    const auto rank = [](const Peer &peer) { return stableHash(peer.vm.text()); };
    const quint64 own = rank(m_self);
    if (m_self.isDraining)
        return int(peers.size());
    return int(std::count_if(peers.cbegin(), peers.cend(), [&](const Peer &peer) {
        return isRecentlyHeard(peer) && rank(peer) < own;
    }));
}

const Peer *PeerDirectory::find(const VmId &vm) const
{
    const auto known = m_peers.constFind(vm);
    return known == m_peers.cend() ? nullptr : &*known;
}

bool PeerDirectory::precedesSelf(const Peer &peer) const
{
    return stableHash(peer.vm.text()) < stableHash(m_self.vm.text());
}

bool PeerDirectory::isRecentlyHeard(const Peer &peer) const
{
    return peer.lastMessage > m_timers.now() - HeardTimeout && !peer.isDraining;
}

QList<DataCentreId> PeerDirectory::otherDataCentres() const
{
    QSet<DataCentreId> found;
    for (const Peer &peer : peers())
        found.insert(peer.dataCentre);
    found.remove(m_self.dataCentre);
    QList<DataCentreId> sorted = found.values();
    std::sort(sorted.begin(), sorted.end());
    return sorted;
}

void PeerDirectory::recordPeer(const Peer &peer)
{
    if (peer.vm == m_self.vm || peer.vm.isEmpty())
        return;
    const auto found = m_peers.constFind(peer.vm);
    const bool isNew = found == m_peers.cend();
    Peer known = peer;
    known.firstSeen = isNew ? m_timers.now() : found->firstSeen;
    known.lastMessage = isNew ? MonotonicTime() : found->lastMessage;
    known.lastSeen = m_timers.now();
    m_peers.insert(peer.vm, known);
    // The log line of a list gives the number of new daemons. One line for each daemon would be as
    // many lines as the square of the fleet.
    if (isNew && peer.dataCentre == m_self.dataCentre)
        logEvent(LogLevel::Info, EventId::MemberJoined,
                 {{"vm", peer.vm.text()}, {"data_centre", peer.dataCentre.text()}});
}

bool PeerDirectory::sendsToSelf(const Peer &peer) const
{
    return peer.dataCentre == m_self.dataCentre || m_peers.size() <= MaxSmallFleetPeers;
}

bool PeerDirectory::isGone(const Peer &peer) const
{
    const MonotonicTime now = m_timers.now();
    return now - peer.lastSeen > UnseenTimeout
        || (sendsToSelf(peer) && now - std::max(peer.lastMessage, peer.firstSeen) > SilenceTimeout);
}

QList<Peer> PeerDirectory::peers() const
{
    QList<Peer> peers;
    for (const Peer &peer : m_peers) {
        if (!isGone(peer))
            peers.append(peer);
    }
    return peers;
}

QList<Peer> PeerDirectory::localPeers() const
{
    QList<Peer> local;
    for (const Peer &peer : m_peers) {
        if (peer.dataCentre == m_self.dataCentre && !isGone(peer))
            local.append(peer);
    }
    return local;
}

bool PeerDirectory::isSmallFleet() const
{
    return fleetSize() <= MaxSmallFleetPeers + 1;
}

QList<Peer> PeerDirectory::directReceivers() const
{
    return isSmallFleet() ? peers() : localPeers();
}

bool PeerDirectory::mayBeAlive(const Peer &peer) const
{
    // While the store does not list the daemons, this one may be the one that is cut off.
    return peer.lastSeen >= m_lastListed - UnseenTimeout;
}

int PeerDirectory::knownDaemons() const
{
    const auto isKnown = [this](const Peer &peer) { return mayBeAlive(peer); };
    return int(std::count_if(m_peers.cbegin(), m_peers.cend(), isKnown)) + 1;
}

int PeerDirectory::knownRank() const
{
    return int(std::count_if(m_peers.cbegin(), m_peers.cend(), [this](const Peer &peer) {
        return mayBeAlive(peer) && precedesSelf(peer);
    }));
}

int PeerDirectory::fleetSize() const
{
    const auto isThere = [this](const Peer &peer) { return !isGone(peer); };
    return int(std::count_if(m_peers.cbegin(), m_peers.cend(), isThere)) + 1;
}

} // namespace cranberry
