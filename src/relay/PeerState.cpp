#include "relay/PeerState.h"

#include "base/EventLog.h"
#include "base/TimerService.h"
#include "base/TimerSubscription.h"
#include "http/CallerReply.h"
#include "http/HttpClient.h"
#include "relay/CborDocument.h"
#include "relay/FeedMessage.h"
#include "relay/PeerDirectory.h"
#include "relay/RelayCounters.h"
#include "relay/StateResponses.h"
#include "relay/StoreItemCompression.h"
#include "relay/StoreMirror.h"

#include <QCborArray>
#include <QCborMap>
#include <QCborValue>
#include <QRandomGenerator>
#include <QSet>

#include <algorithm>
#include <limits>

namespace cranberry {

namespace {

/// A target that leaves is gone about 1.5 s after it announces it, and moving its streams takes
/// most of that.
constexpr Milliseconds AskInterval{250};
/// For a daemon whose configuration is about to exceed its bound: a third of the daemons asked may
/// be refused by the store as well, links may be cut, and of a bound of two seconds a half is left.
/// Hundreds of daemons that start together and lack only the targets must not ask that often.
constexpr Milliseconds StaleAskInterval{100};
constexpr Milliseconds AskTimeout{400};
/// Responses with contents can be hundreds of KB and share the links with other traffic. Aborting
/// and repeating a transfer that still makes progress only adds to the load.
constexpr Milliseconds FetchStallTimeout{800};
constexpr Milliseconds FetchTimeout{5000};
/// When the store is unavailable to all, no other daemon has anything newer. When it refuses some,
/// a third of the daemons asked have nothing, and a new version must be in force within two
/// seconds.
constexpr Milliseconds MaxAskPause{500};
/// All daemons of a data centre hear of a new configuration at the same time and ask its heads,
/// whose links carry about 20 responses of 30 KB in this time.
constexpr int MaxFetchDelayMilliseconds = 200;
/// Sent in place of a revision: the other daemon leaves this part out.
constexpr qint64 NotNeeded = std::numeric_limits<qint64>::max();
/// One request in this many goes to any data centre, as the store may be unavailable to the
/// daemon's whole own one.
constexpr int AsksPerRemoteAsk = 4;
/// Maximum number of items sent to a daemon that has none: 500 targets are about 120 KB, and a VM's
/// link carries 20 Mbit/s where the store's carries 1,000.
constexpr qsizetype MaxItemsForEmptyPeer = 500;
constexpr int StatusOk = 200;
constexpr int StatusUnavailable = 503;
constexpr char StatePath[] = "/state/";
/// Content type of a response with compressed items. Daemons of earlier versions do not accept it.
constexpr char CompressedContentType[] = "application/cbor; items=packed";
constexpr char UncompressedContentType[] = "application/cbor";

const QString ConfigurationField = QStringLiteral("configuration");
const QString EntriesField = QStringLiteral("entries");
/// Milliseconds since the configuration and the entries of the answering daemon were last
/// confirmed.
const QString AgeField = QStringLiteral("age");
const QString EntriesAgeField = QStringLiteral("entries_age");
/// The revision that a copy of the configuration must have reached to be confirmed by the answer.
const QString NewestField = QStringLiteral("newest");

/// The changes to a copy since the revision that another daemon has.
struct CopyChanges {
    /// The last revision whose changes are included.
    Revision upTo;
    QList<StoreItem> changed;
    /// The keys that exist at that revision; the other daemon removes all others. Empty if nothing
    /// changed.
    QCborArray keys;
};

/// Returns the changes after @p known. Returns nullopt if the other daemon has no items and there
/// are more than MaxItemsForEmptyPeer, as the store delivers them faster.
std::optional<CopyChanges> changesSince(const StoreMirror &mirror, Revision known)
{
    const bool hasNothing = known == Revision();
    if (hasNothing && mirror.items().size() > MaxItemsForEmptyPeer)
        return std::nullopt;
    CopyChanges changes;
    changes.upTo = mirror.revision();
    if (!(known < mirror.revision()))
        return changes;
    for (const StoreItem &item : mirror.items()) {
        // The key may already be removed at this revision, and the other daemon would keep it.
        if (mirror.isRemovalPending(item.key))
            continue;
        changes.keys.append(item.key);
        if (item.revision > known)
            changes.changed.append(item);
    }
    return changes;
}

/// Compresses @p items, or returns the result in @p cache if it is for the same items.
QByteArray compressWithCache(const QList<StoreItem> &items, CompressedItemsCache &cache)
{
    // A request for ages alone must not evict the cached result.
    if (items.isEmpty())
        return {};
    QHash<QString, Revision> revisions;
    for (const StoreItem &item : items)
        revisions.insert(item.key, item.revision);
    if (revisions != cache.revisions) {
        cache.revisions = revisions;
        cache.bytes = compressItems(items);
    }
    return cache.bytes;
}

QCborArray encodeUncompressed(const QList<StoreItem> &items)
{
    QCborArray rows;
    for (const StoreItem &item : items)
        rows.append(QCborArray{item.key, item.value, item.revision.value()});
    return rows;
}

/// Encodes the changes after @p known as an array of revision, changed items and keys. Returns an
/// empty array if the other daemon has to read from the store. @p cache is null if the other daemon
/// does not accept compressed items.
QCborArray encodeChanges(const StoreMirror &mirror, Revision known, CompressedItemsCache *cache)
{
    const std::optional<CopyChanges> changes = changesSince(mirror, known);
    if (!changes)
        return {};
    const QCborValue changed = cache ? QCborValue(compressWithCache(changes->changed, *cache))
                                     : QCborValue(encodeUncompressed(changes->changed));
    return {changes->upTo.value(), changed, changes->keys};
}

/// Decodes the changed items of a response. Returns nullopt if they are corrupt. Daemons of earlier
/// versions send them uncompressed.
std::optional<QList<StoreItem>> decodeChangedItems(const QCborValue &changed)
{
    if (changed.isByteArray())
        return decompressItems(changed.toByteArray());
    QList<StoreItem> items;
    for (const QCborValue row : changed.toArray()) {
        const QCborArray fields = row.toArray();
        items.append({fields.at(0).toString(), fields.at(1).toByteArray(),
                      Revision(fields.at(2).toInteger()), false});
    }
    return items;
}

/// A peer's response lists the keys of all targets, the store's only what changed: so peers are
/// asked only if the store does not serve this daemon.
bool asksPeersForTargets(const StalenessView &targets)
{
    return targets.isRejectedByStore && stalenessStep(targets) != StalenessStep::Wait;
}

/// A request for the changes after the given revisions.
HttpRequest stateRequest(qint64 configuration, qint64 entries)
{
    HttpRequest request;
    request.method = "GET";
    request.path =
        StatePath + QByteArray::number(configuration) + '/' + QByteArray::number(entries);
    request.headers.add("Accept", CompressedContentType);
    return request;
}

/// Whether @p mirror includes every change that @p state, a peer's response, reports for @p field.
/// @p newestField holds the revision of the last change; if it is absent, the revision of the
/// peer's copy is used.
bool isUpToDateWith(const StoreMirror &mirror, const QCborMap &state, const QString &field,
                    const QString &newestField)
{
    const QCborArray fields = state.value(field).toArray();
    if (fields.isEmpty() || !mirror.hasRead())
        return false;
    const qint64 peerRevision = fields.at(0).toInteger();
    return Revision(state.value(newestField).toInteger(peerRevision)) <= mirror.revision();
}

/// Merges @p state, a part of a peer's response, into @p mirror. Returns whether the mirror now
/// includes everything that the peer has.
bool mergeInto(StoreMirror &mirror, const QCborValue &state)
{
    const QCborArray fields = state.toArray();
    if (fields.isEmpty())
        return false;
    const Revision revision(fields.at(0).toInteger());
    if (revision <= mirror.revision())
        return mirror.hasRead();
    const std::optional<QList<StoreItem>> changed = decodeChangedItems(fields.at(1));
    if (!changed)
        return false;
    QSet<QString> keys;
    for (const QCborValue key : fields.at(2).toArray())
        keys.insert(key.toString());
    mirror.mergePeerCopy(*changed, keys, revision);
    return true;
}

} // namespace

PeerState::PeerState(TimerService &timers, HttpClient &client, PeerDirectory &peers,
                     StoreMirror &configuration, StoreMirror &entries, RelayCounters &counters,
                     Staleness staleness)
    : m_timers(timers)
    , m_client(client)
    , m_peers(peers)
    , m_configuration(configuration)
    , m_entries(entries)
    , m_counters(counters)
    , m_staleness(std::move(staleness))
    , m_pause(AskInterval)
    , m_timer(timers.every(StaleAskInterval, [this] { askIfStale(); }))
{
}

PeerState::~PeerState() = default;

void PeerState::handle(const HttpRequest &request, const std::shared_ptr<CallerReply> &reply) const
{
    // "/state/CONFIGURATION/ENTRIES": the revisions that the other daemon has.
    const QList<QByteArray> parts = request.path.split('/');
    const bool canAnswer = parts.size() == 4 && request.path.startsWith(StatePath)
        && m_configuration.hasRead() && m_entries.hasRead();
    if (!canAnswer) {
        reply->send({StatusUnavailable, {}, {}});
        return;
    }
    const bool acceptsCompressed = request.headers.value("Accept") == CompressedContentType;
    // The operator's keys are sent however old they are, as their age is sent with them.
    QCborMap state{{ConfigurationField,
                    encodeChanges(m_configuration, Revision(parts.at(2).toLongLong()),
                                  acceptsCompressed ? &m_compressedConfiguration : nullptr)},
                   {AgeField, qint64(m_configuration.age().count())},
                   {NewestField, m_configuration.requiredPeerRevision().value()},
                   {EntriesAgeField, qint64(m_entries.age().count())}};
    if (m_entries.hasSource())
        state.insert(EntriesField,
                     encodeChanges(m_entries, Revision(parts.at(3).toLongLong()),
                                   acceptsCompressed ? &m_compressedEntries : nullptr));
    const QByteArray body = state.toCborValue().toCbor();
    m_counters.peerStateBytesSent += body.size();
    reply->send(
        {StatusOk,
         {{"Content-Type", acceptsCompressed ? CompressedContentType : UncompressedContentType}},
         body});
}

bool PeerState::isStale(const std::function<StalenessView()> &staleness) const
{
    return stalenessStep(staleness()) != StalenessStep::Wait;
}

void PeerState::askIfStale()
{
    const bool isStale =
        this->isStale(m_staleness.configuration) || asksPeersForTargets(m_staleness.targets());
    const bool isAway = isStale || !m_configuration.hasSource() || !m_entries.hasSource();
    if (!isAway) {
        m_pause = AskInterval;
        return;
    }
    QList<Peer> peers = m_peers.localPeers();
    if (peers.isEmpty() || QRandomGenerator::global()->bounded(AsksPerRemoteAsk) == 0)
        peers = m_peers.peers();
    if (peers.isEmpty() || m_timers.now() < m_nextAsk)
        return;
    // Recently heard daemons are more likely to answer; a list may name some that have ended.
    QList<Peer> heard = peers;
    heard.removeIf([this](const Peer &peer) { return !m_peers.isRecentlyHeard(peer); });
    if (!heard.isEmpty())
        peers = heard;
    // Beyond the bound the store is unavailable to all, and asking more often does not help.
    const bool isUrgent = isStale
        && (isWithinBound(m_staleness.configuration()) || isWithinBound(m_staleness.targets()));
    m_nextAsk = m_timers.now() + (isUrgent ? StaleAskInterval : m_pause);
    askForRevisions(peers.at(QRandomGenerator::global()->bounded(int(peers.size()))));
}

void PeerState::scheduleFetch(const Peer &peer)
{
    if (m_fetch || m_fetchTimer)
        return;
    const Milliseconds delay(QRandomGenerator::global()->bounded(MaxFetchDelayMilliseconds));
    m_fetchTimer = m_timers.after(delay, [this, peer] {
        m_fetchTimer.reset();
        if (!m_fetch)
            fetchContents(peer);
    });
}

bool PeerState::needsEntries() const
{
    // The feed delivers entries, and a response with all of them is large.
    return !m_entries.hasRead() || !m_entries.hasSource()
        || asksPeersForTargets(m_staleness.targets());
}

void PeerState::askForRevisions(const Peer &peer)
{
    HttpExchangeOptions options;
    options.connectTimeout = AskTimeout;
    options.timeout = AskTimeout;
    const int number = ++m_lastRequestNumber;
    m_revisionRequests[number] =
        m_client.fetch(peer.endpoint, stateRequest(NotNeeded, NotNeeded), options,
                       [this, number, peer, asked = m_timers.now()](HttpExchangeEnd end,
                                                                    const HttpResponse &response) {
                           const auto exchange = m_revisionRequests.extract(number);
                           const std::optional<QCborMap> state =
                               decodeResponse(peer.vm, end, response, asked);
                           if (state)
                               handleRevisions(peer, *state, asked);
                       });
}

void PeerState::handleRevisions(const Peer &peer, const QCborMap &state, MonotonicTime asked)
{
    const bool hasConfiguration =
        isUpToDateWith(m_configuration, state, ConfigurationField, NewestField);
    if (hasConfiguration)
        m_configuration.confirm(asked - decodeAge(state.value(AgeField)), StoreSource::Peer);
    const bool hasEntries = isUpToDateWith(m_entries, state, EntriesField, QString());
    if (hasEntries)
        m_entries.confirm(asked - decodeAge(state.value(EntriesAgeField)), StoreSource::Peer);
    const bool isOutdated =
        !hasConfiguration || (!hasEntries && needsEntries() && state.contains(EntriesField));
    if (isOutdated && !m_fetch)
        fetchContents(peer);
}

void PeerState::fetchContents(const Peer &peer)
{
    const bool includesEntries = needsEntries();
    const qint64 entries = includesEntries ? m_entries.revision().value() : NotNeeded;
    HttpExchangeOptions options;
    options.connectTimeout = AskTimeout;
    options.stallTimeout = FetchStallTimeout;
    options.timeout = FetchTimeout;
    options.maxWithoutRoom = StateWithoutRoom;
    m_fetch = m_client.fetch(
        peer.endpoint, stateRequest(m_configuration.revision().value(), entries), options,
        [this, includesEntries, vm = peer.vm,
         asked = m_timers.now()](HttpExchangeEnd end, const HttpResponse &response) {
            const auto exchange = std::move(m_fetch);
            const std::optional<QCborMap> state = decodeResponse(vm, end, response, asked);
            if (state)
                handleContents(vm, *state, response.body.size(), includesEntries, asked);
        });
}

std::optional<QCborMap> PeerState::decodeResponse(const VmId &vm, HttpExchangeEnd end,
                                                  const HttpResponse &response, MonotonicTime asked)
{
    const auto elapsed = std::chrono::duration_cast<Milliseconds>(m_timers.now() - asked);
    m_counters.peerStateBytesReceived += response.body.size();
    if (end != HttpExchangeEnd::Complete || response.status != StatusOk) {
        m_pause = std::clamp(2 * m_pause, AskInterval, MaxAskPause);
        ++m_counters.peerStateFailed;
        logEvent(LogLevel::Info, EventId::PeerStateFailed,
                 {{"vm", vm.text()},
                  {"status", QString::number(response.status)},
                  {"bytes", QString::number(response.body.size())},
                  {"took_ms", QString::number(elapsed.count())}});
        return std::nullopt;
    }
    m_counters.peerStateResponseTimes.add(double(elapsed.count()));
    m_pause = AskInterval;
    const std::optional<QCborValue> document = decodeCborDocument(response.body);
    if (document && document->toMap().contains(ConfigurationField))
        return document->toMap();
    logEvent(LogLevel::Warning, EventId::PeerStateFailed,
             {{"vm", vm.text()}, {"detail", QStringLiteral("the response cannot be decoded")}});
    return std::nullopt;
}

void PeerState::handleContents(const VmId &vm, const QCborMap &state, qsizetype bytes,
                               bool hasEntries, MonotonicTime asked)
{
    const Revision before = m_configuration.revision();
    const Milliseconds age = decodeAge(state.value(AgeField));
    if (mergeInto(m_configuration, state.value(ConfigurationField)))
        m_configuration.confirm(asked - age, StoreSource::Peer);
    const auto elapsed = std::chrono::duration_cast<Milliseconds>(m_timers.now() - asked);
    if (before < m_configuration.revision())
        logEvent(LogLevel::Info, EventId::PeerStateTaken,
                 {{"vm", vm.text()},
                  {"before", QString::number(before.value())},
                  {"revision", QString::number(m_configuration.revision().value())},
                  {"bytes", QString::number(bytes)},
                  {"took_ms", QString::number(elapsed.count())},
                  {"age_ms", QString::number(age.count())}});
    // A response without entries names a revision as well. Taken for a complete list, it removed
    // every target.
    if (hasEntries && mergeInto(m_entries, state.value(EntriesField)))
        m_entries.confirm(asked - decodeAge(state.value(EntriesAgeField)), StoreSource::Peer);
}

} // namespace cranberry
