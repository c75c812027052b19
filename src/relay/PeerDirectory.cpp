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

/// A daemon that died without a word is listed for this long; messages to it are lost meanwhile.
constexpr Milliseconds LeaseTime{20000};
constexpr Milliseconds RenewEvery{7000};
constexpr Milliseconds RetryAfterFailure{1000};
constexpr Milliseconds CallTimeout{1500};
/// All daemons of a fleet start within a second; after that few come and go.
constexpr Milliseconds FirstList{1500};
constexpr Milliseconds SecondList{4000};
constexpr Milliseconds ListEvery{12000};
/// Kept after it was last seen: two lists that failed.
constexpr Milliseconds KeepUnseen{30000};
/// Daemons speak at least each 1.5 s.
constexpr Milliseconds SilentAfter{4000};
/// Up to this many peers every daemon tells all: with 78 daemons and 60 generations a second that
/// is about 110 datagrams a second each, under 0.5% of a small VM's processor.
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

void PeerDirectory::start()
{
    announce();
    m_listTimer = m_timers.after(FirstList, [this] { list(); });
}

void PeerDirectory::call(const HttpRequest &request,
                         std::function<void(const HttpResponse &)> callback)
{
    ++m_counters.storeCalls;
    HttpExchangeOptions options;
    options.connectTimeout = CallTimeout;
    options.timeout = CallTimeout;
    options.reuseConnection = true;
    m_announcing = m_client.fetch(
        m_store, request, options,
        [callback = std::move(callback)](HttpExchangeEnd end, const HttpResponse &response) {
            callback(end == HttpExchangeEnd::Complete ? response : HttpResponse());
        });
}

void PeerDirectory::announceAgain(Milliseconds delay)
{
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
        announceAgain(isRenewed ? RenewEvery : RetryAfterFailure);
    });
}

void PeerDirectory::granted(const HttpResponse &response)
{
    const Result<LeaseId> lease = m_protocol.readLease(response);
    if (!lease) {
        announceAgain(RetryAfterFailure);
        return;
    }
    call(m_protocol.writeKey(PeerPrefix + m_self.vm.text(), encoded(m_self), lease.value()),
         [this, lease = lease.value()](const HttpResponse &written) {
             const bool isWritten = written.status == StatusOk;
             if (isWritten)
                 m_lease = lease;
             announceAgain(isWritten ? RenewEvery : RetryAfterFailure);
         });
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
    options.reuseConnection = true;
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
    for (const StoreItem &item : answer.items)
        seen(decoded(item));
}

void PeerDirectory::heard(const Peer &peer)
{
    seen(peer);
    const auto known = m_peers.find(peer.vm);
    if (known != m_peers.end())
        known->heard = m_timers.now();
}

int PeerDirectory::rankAmong(const QList<Peer> &peers) const
{
    const auto rank = [](const Peer &peer) { return stableHash(peer.vm.text()); };
    const quint64 own = rank(m_self);
    return int(std::count_if(peers.cbegin(), peers.cend(), [&](const Peer &peer) {
        return isHeard(peer) && rank(peer) < own;
    }));
}

bool PeerDirectory::isHeard(const Peer &peer) const
{
    return peer.heard > m_timers.now() - SilentAfter;
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
    if (!m_peers.contains(peer.vm))
        logEvent(LogLevel::Info, EventId::MemberJoined,
                 {{"vm", peer.vm.text()}, {"data_centre", peer.dataCentre.text()}});
    Peer &known = m_peers[peer.vm];
    const MonotonicTime heardBefore = known.heard;
    known = peer;
    known.heard = heardBefore;
    known.seen = m_timers.now();
}

QList<Peer> PeerDirectory::peers() const
{
    QList<Peer> peers;
    const MonotonicTime limit = m_timers.now() - KeepUnseen;
    for (const Peer &peer : m_peers) {
        if (peer.seen >= limit)
            peers.append(peer);
    }
    return peers;
}

QList<Peer> PeerDirectory::peersNearby() const
{
    QList<Peer> nearby = peers();
    nearby.removeIf([this](const Peer &peer) { return peer.dataCentre != m_self.dataCentre; });
    return nearby;
}

bool PeerDirectory::isSmallFleet() const
{
    return peers().size() <= SmallFleet;
}

QList<Peer> PeerDirectory::audience() const
{
    return isSmallFleet() ? peers() : peersNearby();
}

int PeerDirectory::fleetSize() const
{
    return int(peers().size()) + 1;
}

} // namespace cranberry
