#include "relay/PeerDirectory.h"

#include "base/EventLog.h"
#include "base/StableHash.h"
#include "base/TimerService.h"
#include "base/TimerSubscription.h"
#include "http/HttpClient.h"
#include "relay/RelayCounters.h"
#include "relay/StoreProtocol.h"

#include <QJsonDocument>
#include <QJsonObject>
#include <QSet>

#include <algorithm>

namespace cranberry {

namespace {

/// Each renewal is a call. A daemon that died without notice is listed for this long, and messages
/// to it are lost meanwhile; daemons that expect messages of it forget it after KeepSilent.
constexpr Milliseconds LeaseTime{120000};
constexpr Milliseconds RenewEvery{40000};
constexpr Milliseconds RetryAfterFailure{1000};
constexpr Milliseconds LongestRetry{4000};
constexpr Milliseconds CallTimeout{1500};
/// All daemons of a fleet start within a second, and a list may be as old as some seconds; after
/// that few come and go, and those that come send a hello to the daemons listed.
constexpr Milliseconds FirstList{1500};
constexpr Milliseconds SecondList{4000};
constexpr Milliseconds ListEvery{60000};
/// Kept after it was last listed or heard: two lists that failed.
constexpr Milliseconds KeepUnseen{150000};
/// Kept though nothing is heard, where daemons exchange messages.
constexpr Milliseconds KeepSilent{30000};
/// Daemons speak at least each 1.5 s.
constexpr Milliseconds SilentAfter{4000};
/// Up to this many peers every daemon tells all; with more the datagrams grow with their square.
constexpr int SmallFleet = 100;
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
    const Milliseconds delay = isFirstStart ? FirstList : Milliseconds(0);
    m_listTimer = m_timers.after(delay, [this] { list(); });
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

void PeerDirectory::announceAgain(bool isAnnounced)
{
    m_retry = isAnnounced ? RetryAfterFailure : std::min(2 * m_retry, LongestRetry);
    const Milliseconds delay = isAnnounced ? RenewEvery : m_retry;
    m_announceTimer = m_timers.after(delay, [this] { announce(); });
}

void PeerDirectory::announce()
{
    if (m_leaving)
        return;
    if (!m_lease) {
        call(m_protocol.grantLease(LeaseTime),
             [this](const HttpResponse &response) { granted(response); });
        return;
    }
    call(m_protocol.renewLease(*m_lease), [this](const HttpResponse &response) {
        // A lease that has lapsed took the key with it: both are made anew.
        const bool isRenewed = response.status == StatusOk;
        if (!isRenewed)
            m_lease.reset();
        announceAgain(isRenewed);
    });
}

void PeerDirectory::granted(const HttpResponse &response)
{
    const Result<LeaseId> lease = m_protocol.readLease(response);
    if (!lease) {
        announceAgain(false);
        return;
    }
    call(m_protocol.writeKey(PeerPrefix + m_self.vm.text(), encoded(m_self), lease.value()),
         [this, lease = lease.value()](const HttpResponse &written) {
             const bool isWritten = written.status == StatusOk;
             if (isWritten)
                 m_lease = lease;
             announceAgain(isWritten);
         });
}

void PeerDirectory::drain()
{
    m_self.isDraining = true;
}

void PeerDirectory::leave()
{
    m_leaving = true;
    if (m_lease)
        call(m_protocol.endLease(*m_lease), [](const HttpResponse &) {});
}

void PeerDirectory::list()
{
    ++m_counters.storeCalls;
    ++m_lists;
    HttpExchangeOptions options;
    options.connectTimeout = CallTimeout;
    options.timeout = CallTimeout;
    m_listing =
        m_client.fetch(m_store, m_protocol.staleRange(PeerPrefix), options,
                       [this](HttpExchangeEnd end, const HttpResponse &response) {
                           listed(end == HttpExchangeEnd::Complete ? m_protocol.readItems(response)
                                                                   : StoreAnswer());
                       });
    m_listTimer = m_timers.after(m_lists == 1 ? SecondList : ListEvery, [this] { list(); });
}

void PeerDirectory::listed(const StoreAnswer &answer)
{
    if (answer.kind != StoreAnswer::Kind::Items) {
        logEvent(LogLevel::Warning, EventId::PeerListFailed,
                 {{"known", QString::number(m_peers.size())}});
        return;
    }
    m_hasListed = true;
    const qsizetype before = m_peers.size();
    QList<Peer> joined;
    for (const StoreItem &item : answer.items) {
        const Peer peer = decoded(item);
        if (peer.dataCentre == m_self.dataCentre && !m_peers.contains(peer.vm))
            joined.append(peer);
        listed(peer);
    }
    logEvent(LogLevel::Info, EventId::PeersListed,
             {{"listed", QString::number(answer.items.size())},
              {"new", QString::number(m_peers.size() - before)}});
    if (m_joinedNearby)
        m_joinedNearby(joined);
}

void PeerDirectory::listed(Peer peer)
{
    // The store does not tell whether it is about to end.
    const auto known = m_peers.constFind(peer.vm);
    if (known != m_peers.cend()) {
        peer.isDraining = known->isDraining;
        peer.version = known->version;
    }
    seen(peer);
}

void PeerDirectory::heard(const Peer &peer)
{
    const bool isNewNearby =
        peer.dataCentre == m_self.dataCentre && !m_peers.contains(peer.vm) && peer.vm != m_self.vm;
    seen(peer);
    const auto known = m_peers.find(peer.vm);
    if (known != m_peers.end())
        known->heard = m_timers.now();
    // The hello is answered, so that both know of each other at once.
    if (isNewNearby && m_joinedNearby)
        m_joinedNearby({peer});
}

int PeerDirectory::rankAmong(const QList<Peer> &peers) const
{
    const auto rank = [](const Peer &peer) { return stableHash(peer.vm.text()); };
    const quint64 own = rank(m_self);
    if (m_self.isDraining)
        return int(peers.size());
    return int(std::count_if(peers.cbegin(), peers.cend(),
                             [&](const Peer &peer) { return isHeard(peer) && rank(peer) < own; }));
}

bool PeerDirectory::isBefore(const Peer &peer) const
{
    return stableHash(peer.vm.text()) < stableHash(m_self.vm.text());
}

bool PeerDirectory::isHeard(const Peer &peer) const
{
    return peer.heard > m_timers.now() - SilentAfter && !peer.isDraining;
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

void PeerDirectory::seen(const Peer &peer)
{
    if (peer.vm == m_self.vm || peer.vm.isEmpty())
        return;
    const auto found = m_peers.constFind(peer.vm);
    const bool isNew = found == m_peers.cend();
    Peer known = peer;
    known.since = isNew ? m_timers.now() : found->since;
    known.heard = isNew ? MonotonicTime() : found->heard;
    known.seen = m_timers.now();
    m_peers.insert(peer.vm, known);
    // A list says how many are new; one line for each would be as many as daemons times daemons.
    if (isNew && peer.dataCentre == m_self.dataCentre)
        logEvent(LogLevel::Info, EventId::MemberJoined,
                 {{"vm", peer.vm.text()}, {"data_centre", peer.dataCentre.text()}});
}

bool PeerDirectory::isGone(const Peer &peer) const
{
    const MonotonicTime now = m_timers.now();
    const bool sendsToUs = peer.dataCentre == m_self.dataCentre || m_peers.size() <= SmallFleet;
    return now - peer.seen > KeepUnseen
        || (sendsToUs && now - std::max(peer.heard, peer.since) > KeepSilent);
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

QList<Peer> PeerDirectory::peersNearby() const
{
    QList<Peer> nearby;
    for (const Peer &peer : m_peers) {
        if (peer.dataCentre == m_self.dataCentre && !isGone(peer))
            nearby.append(peer);
    }
    return nearby;
}

bool PeerDirectory::isSmallFleet() const
{
    return fleetSize() <= SmallFleet + 1;
}

QList<Peer> PeerDirectory::audience() const
{
    return isSmallFleet() ? peers() : peersNearby();
}

int PeerDirectory::fleetSize() const
{
    const auto isThere = [this](const Peer &peer) { return !isGone(peer); };
    return int(std::count_if(m_peers.cbegin(), m_peers.cend(), isThere)) + 1;
}

} // namespace cranberry
