#include "configuration/ConfigurationPropagator.h"

#include "base/EventLog.h"
#include "base/TimerService.h"
#include "base/TimerSubscription.h"
#include "configuration/BroadcastTree.h"
#include "configuration/ConfigurationStore.h"
#include "configuration/SnapshotWriter.h"
#include "membership/MemberView.h"
#include "membership/RendezvousHash.h"
#include "peer/PeerNetwork.h"
#include "platformstore/KeyValueStore.h"

#include <QCborArray>
#include <QJsonDocument>
#include <QRandomGenerator>

namespace cranberry {

namespace {

constexpr int WatchersPerDataCentre = 2;
constexpr Milliseconds WatcherSelectionInterval{1000};
constexpr Milliseconds WatchTimeout{30'000};
constexpr Milliseconds MinRetryDelay{200};
constexpr Milliseconds MaxRetryDelay{10'000};
/// A new pull may be sent if the previous one has not been answered within this time.
constexpr Milliseconds PullTimeout{500};
/// Time to wait for the changes from a peer before loading them from the platform.
constexpr Milliseconds FallbackDelay{1500};
constexpr Milliseconds FallbackJitter{1000};
/// Maximum number of daemons to which one daemon relays a change.
constexpr int FanOut = 4;
/// Maximum number of tree roots in m_relayedVersions. Two roots are active at a time; the
/// others belong to replaced VMs.
constexpr size_t MaxTrackedTrees = 64;
/// Keeps a message within the limit of 1 MB for a frame between daemons.
constexpr qsizetype MaxPeerPartBytes = 256 * 1024;

const QString WatchRankKey = QStringLiteral("configuration-watch");
const QString After = QStringLiteral("after");
const QString Part = QStringLiteral("part");
const QString Parts = QStringLiteral("parts");
const QString Version = QStringLiteral("version");
const QString Document = QStringLiteral("document");
const QString Changes = QStringLiteral("changes");
const QString Id = QStringLiteral("id");
const QString Root = QStringLiteral("root");
const QString Patch = QStringLiteral("patch");

Milliseconds withJitter(Milliseconds time, Milliseconds maxJitter)
{
    return time + Milliseconds(QRandomGenerator::global()->bounded(qint64(maxJitter.count()) + 1));
}

QCborMap changeToCbor(const ConfigurationChange &change)
{
    return {{Version, change.version.value()},
            {Id, change.id.text()},
            {Patch, QCborMap::fromJsonObject(change.patch)}};
}

ConfigurationChange changeFromCbor(const QCborMap &map)
{
    return {ConfigurationVersion(map[Version].toInteger()), ChangeId(map[Id].toString()),
            map[Patch].toMap().toJsonObject()};
}

} // namespace

ConfigurationPropagator::ConfigurationPropagator(ConfigurationStore &store, KeyValueStore &platform,
                                                 PeerNetwork &peers, const MemberView &members,
                                                 TimerService &timers)
    : m_store(store)
    , m_platform(platform)
    , m_peers(peers)
    , m_members(members)
    , m_timers(timers)
{
    m_store.onInForce(m_guard.wrap(
        [this](const std::shared_ptr<const Configuration> &) { broadcastNewChanges(); }));
    m_peers.subscribe(PeerMessageKind::ConfigurationPull,
                      [this](const VmId &from, const QCborMap &body) { answerPull(from, body); });
    m_peers.subscribe(PeerMessageKind::ConfigurationChanges,
                      [this](const VmId &from, const QCborMap &body) {
                          if (body.contains(Document))
                              onDocumentPartReceived(from, body);
                          else
                              onChangesReceived(body);
                      });
}

ConfigurationPropagator::~ConfigurationPropagator() = default;

void ConfigurationPropagator::start()
{
    load();
    m_watcherSelectionTimer =
        m_timers.every(WatcherSelectionInterval, [this] { selectWatchers(); });
    selectWatchers();
}

bool ConfigurationPropagator::needsLoad() const
{
    return !m_store.current() || m_store.version() < m_highestPeerVersion;
}

void ConfigurationPropagator::load()
{
    m_store.load(m_guard.wrap([this](const Result<ConfigurationVersion> &loaded) {
        setPlatformReachable(loaded.has_value());
        // Retries even if a peer has delivered the version in the meantime: a daemon without a
        // watch has no other way to detect that the platform is reachable again.
        if (!loaded.has_value())
            m_loadRetryTimer = m_timers.after(nextRetryDelay(), [this] { load(); });
    }));
}

Milliseconds ConfigurationPropagator::nextRetryDelay()
{
    Milliseconds delay = MinRetryDelay;
    for (int i = 0; i < m_consecutiveFailures && delay < MaxRetryDelay; ++i)
        delay *= 2;
    return withJitter(std::min(delay, MaxRetryDelay), delay);
}

void ConfigurationPropagator::setPlatformReachable(bool reachable)
{
    m_consecutiveFailures = reachable ? 0 : m_consecutiveFailures + 1;
    if (reachable == m_platformReachable)
        return;
    m_platformReachable = reachable;
    logEvent(reachable ? LogLevel::Info : LogLevel::Warning,
             reachable ? EventId::PlatformBack : EventId::PlatformDown, {});
}

QList<VmId> ConfigurationPropagator::liveMembersInOwnDataCentre() const
{
    const VmId self = m_members.self();
    const QList<Member> live = m_members.liveMembers();
    const auto own = std::find_if(live.begin(), live.end(),
                                  [&self](const Member &member) { return member.vm == self; });
    QList<VmId> found;
    for (const Member &member : live) {
        if (own != live.end() && member.dataCentre == own->dataCentre)
            found.append(member.vm);
    }
    return found;
}

void ConfigurationPropagator::selectWatchers()
{
    const VmId self = m_members.self();
    const QList<VmId> candidates = liveMembersInOwnDataCentre();
    const QList<VmId> watchers = rendezvousOrder(WatchRankKey, candidates, WatchersPerDataCentre);
    // A daemon that knows no live member of its data centre, not even itself, can receive changes
    // only from the platform.
    m_watching = candidates.isEmpty() || watchers.contains(self);
    if (m_watching)
        watch();
}

void ConfigurationPropagator::watch()
{
    if (m_isWatchPending || m_watchRetryTimer)
        return;
    m_isWatchPending = true;
    m_platform.watch(ChangePrefix, m_watchedRevision, WatchTimeout,
                     m_guard.wrap([this](const Result<QList<KeyValue>> &entries) {
                         m_isWatchPending = false;
                         setPlatformReachable(entries.has_value());
                         if (entries.has_value())
                             onWatchResult(entries.value());
                         else
                             scheduleWatchRetry();
                     }));
}

void ConfigurationPropagator::onWatchResult(const QList<KeyValue> &entries)
{
    const LogPage page = readLogPage(entries);
    m_watchedRevision = std::max(m_watchedRevision, page.highestRevision);
    m_store.applyPage(page);
    if (m_watching)
        watch();
}

void ConfigurationPropagator::scheduleWatchRetry()
{
    m_watchRetryTimer = m_timers.after(nextRetryDelay(), [this] {
        m_watchRetryTimer.reset();
        if (m_watching)
            watch();
    });
}

void ConfigurationPropagator::onPeerVersion(const VmId &from, ConfigurationVersion version)
{
    m_highestPeerVersion = std::max(m_highestPeerVersion, version);
    if (version <= m_store.version())
        return;
    startPull(from);
    scheduleFallbackLoad();
}

void ConfigurationPropagator::startPull(const VmId &peer)
{
    const MonotonicTime now = m_timers.now();
    const bool isPullPending = m_pull && now - m_pull->sentAt < PullTimeout;
    if (isPullPending)
        return;
    m_pull = Pull{peer, now, {}, {}};
    sendPull(0);
}

void ConfigurationPropagator::sendPull(int part)
{
    m_pull->sentAt = m_timers.now();
    const QCborMap body{{After, m_store.version().value()}, {Part, part}};
    m_peers.send(m_pull->peer, PeerMessageKind::ConfigurationPull, body);
}

void ConfigurationPropagator::answerPull(const VmId &peer, const QCborMap &body)
{
    const ConfigurationVersion after(body[After].toInteger());
    const ConfigurationVersion version = m_store.version();
    if (version <= after)
        return;
    const int part = int(body[Part].toInteger());
    if (part == 0) {
        if (const std::optional<QCborMap> changes = changesMessage(after)) {
            m_peers.send(peer, PeerMessageKind::ConfigurationChanges, *changes);
            return;
        }
    }
    if (m_servedVersion != version) {
        m_servedParts = snapshotParts(
            QJsonDocument(m_store.document()).toJson(QJsonDocument::Compact), MaxPeerPartBytes);
        m_servedVersion = version;
    }
    if (part < 0 || part >= m_servedParts.size())
        return;
    m_peers.send(peer, PeerMessageKind::ConfigurationChanges,
                 {{Version, version.value()},
                  {Part, part},
                  {Parts, m_servedParts.size()},
                  {Document, m_servedParts.at(part)}});
}

std::optional<QCborMap> ConfigurationPropagator::changesMessage(ConfigurationVersion after) const
{
    const std::optional<QList<ConfigurationChange>> changes = m_store.changesAfter(after);
    if (!changes)
        return std::nullopt;
    QCborArray list;
    qsizetype size = 0;
    for (const ConfigurationChange &change : *changes) {
        const QCborMap encoded = changeToCbor(change);
        size += encoded.toCborValue().toCbor().size();
        // The receiver pulls the rest once these are in force. A single change may exceed the
        // limit.
        if (size > MaxPeerPartBytes && !list.isEmpty())
            break;
        list.append(encoded);
    }
    return QCborMap{{Changes, list}};
}

void ConfigurationPropagator::onChangesReceived(const QCborMap &body)
{
    QList<ConfigurationChange> changes;
    const QCborArray list = body[Changes].toArray();
    for (const auto &value : list)
        changes.append(changeFromCbor(value.toMap()));
    m_pull.reset();
    if (body.contains(Root) && !changes.isEmpty())
        relay(body, VmId(body[Root].toString()), changes.last().version);
    m_store.applyChanges(changes);
}

void ConfigurationPropagator::onDocumentPartReceived(const VmId &peer, const QCborMap &body)
{
    if (!m_pull || m_pull->peer != peer)
        return;
    const ConfigurationVersion version(body[Version].toInteger());
    const qint64 part = body[Part].toInteger();
    if (version != m_pull->documentVersion) {
        // The peer has changed to another version while its document was being pulled.
        m_pull->documentVersion = version;
        m_pull->parts.clear();
    }
    if (part != m_pull->parts.size()) {
        sendPull(int(m_pull->parts.size()));
        return;
    }
    m_pull->parts.append(body[Document].toByteArray());
    if (m_pull->parts.size() < body[Parts].toInteger()) {
        sendPull(int(m_pull->parts.size()));
        return;
    }
    const QJsonDocument document = QJsonDocument::fromJson(m_pull->parts.join());
    m_pull.reset();
    if (document.isObject())
        m_store.applyDocument(version, document.object());
}

void ConfigurationPropagator::broadcastNewChanges()
{
    const std::optional<ConfigurationVersion> before =
        std::exchange(m_lastInForceVersion, m_store.version());
    // The version that is put in force at startup is not broadcast.
    if (!m_watching || !before || m_store.version() <= *before)
        return;
    std::optional<QCborMap> message = changesMessage(*before);
    if (!message)
        return;
    message->insert(Root, m_members.self().text());
    relay(*message, m_members.self(), m_store.version());
}

void ConfigurationPropagator::relay(const QCborMap &message, const VmId &root,
                                    ConfigurationVersion version)
{
    // Relays along each tree independently, including changes already received along another tree.
    // If daemons relayed only changes that are new to them, two trees could prune each other's
    // branches.
    if (m_relayedVersions.size() > MaxTrackedTrees)
        m_relayedVersions.clear(); // Mostly replaced VMs; at worst a message is relayed twice.
    ConfigurationVersion &relayedVersion = m_relayedVersions[root];
    if (version <= relayedVersion)
        return;
    relayedVersion = version;
    const QList<VmId> children =
        broadcastChildren(liveMembersInOwnDataCentre(), root, m_members.self(), FanOut);
    for (const VmId &child : children)
        m_peers.send(child, PeerMessageKind::ConfigurationChanges, message);
}

void ConfigurationPropagator::scheduleFallbackLoad()
{
    if (m_fallbackTimer)
        return;
    m_fallbackTimer = m_timers.after(withJitter(FallbackDelay, FallbackJitter), [this] {
        m_fallbackTimer.reset();
        if (needsLoad())
            load();
    });
}

} // namespace cranberry
