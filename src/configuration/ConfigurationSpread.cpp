#include "configuration/ConfigurationSpread.h"

#include "base/EventLog.h"
#include "base/TimerService.h"
#include "base/TimerSubscription.h"
#include "configuration/ConfigurationStore.h"
#include "configuration/SnapshotWriter.h"
#include "configuration/SpreadTree.h"
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
constexpr Milliseconds ChooseInterval{1000};
constexpr Milliseconds WatchTime{30'000};
constexpr Milliseconds FirstRetry{200};
constexpr Milliseconds LongestRetry{10'000};
/// A pull that was not answered by then may be sent anew.
constexpr Milliseconds PullTime{500};
/// Without the changes from a peer by then, the platform is asked.
constexpr Milliseconds FallbackTime{1500};
constexpr Milliseconds FallbackJitter{1000};
/// Daemons that each passes a change on to.
constexpr int FanOut = 4;
/// Heads of trees to remember; two at a time, and others as VMs are replaced.
constexpr size_t MostTrees = 64;
/// A frame between daemons holds 1 MB.
constexpr qsizetype PeerPartSize = 256 * 1024;

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

Milliseconds withJitter(Milliseconds time, Milliseconds jitter)
{
    return time + Milliseconds(QRandomGenerator::global()->bounded(qint64(jitter.count()) + 1));
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

ConfigurationSpread::ConfigurationSpread(ConfigurationStore &store, KeyValueStore &platform,
                                         PeerNetwork &peers, const MemberView &members,
                                         TimerService &timers)
    : m_store(store)
    , m_platform(platform)
    , m_peers(peers)
    , m_members(members)
    , m_timers(timers)
{
    m_store.onInForce(
        m_guard.wrap([this](const std::shared_ptr<const Configuration> &) { sendOut(); }));
    m_peers.subscribe(PeerMessageKind::ConfigurationPull,
                      [this](const VmId &from, const QCborMap &body) { answerPull(from, body); });
    m_peers.subscribe(PeerMessageKind::ConfigurationChanges,
                      [this](const VmId &from, const QCborMap &body) {
                          if (body.contains(Document))
                              takeDocumentPart(from, body);
                          else
                              takeChanges(body);
                      });
}

ConfigurationSpread::~ConfigurationSpread() = default;

void ConfigurationSpread::start()
{
    load();
    m_chooser = m_timers.every(ChooseInterval, [this] { chooseWatchers(); });
    chooseWatchers();
}

bool ConfigurationSpread::needsLoad() const
{
    return !m_store.current() || m_store.version() < m_heard;
}

void ConfigurationSpread::load()
{
    m_store.load(m_guard.wrap([this](const Result<ConfigurationVersion> &loaded) {
        setPlatformReachable(loaded.has_value());
        // Tried on even if a peer gives the version meanwhile: nothing else would tell a daemon
        // without a watch that the platform is back.
        if (!loaded.has_value())
            m_loadRetry = m_timers.after(nextDelay(), [this] { load(); });
    }));
}

Milliseconds ConfigurationSpread::nextDelay()
{
    Milliseconds delay = FirstRetry;
    for (int i = 0; i < m_failures && delay < LongestRetry; ++i)
        delay *= 2;
    return withJitter(std::min(delay, LongestRetry), delay);
}

void ConfigurationSpread::setPlatformReachable(bool reachable)
{
    m_failures = reachable ? 0 : m_failures + 1;
    if (reachable == m_platformReachable)
        return;
    m_platformReachable = reachable;
    logEvent(reachable ? LogLevel::Info : LogLevel::Warning,
             reachable ? EventId::PlatformBack : EventId::PlatformDown, {});
}

QList<VmId> ConfigurationSpread::liveInOwnDataCentre() const
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

void ConfigurationSpread::chooseWatchers()
{
    const VmId self = m_members.self();
    const QList<VmId> candidates = liveInOwnDataCentre();
    const QList<VmId> watchers = rendezvousOrder(WatchRankKey, candidates, WatchersPerDataCentre);
    // A daemon that knows of nobody, not even itself, has nobody to hear from but the platform.
    m_watching = candidates.isEmpty() || watchers.contains(self);
    if (m_watching)
        watch();
}

void ConfigurationSpread::watch()
{
    if (m_watchWaits || m_watchRetry)
        return;
    m_watchWaits = true;
    m_platform.watch(ChangePrefix, m_watched, WatchTime,
                     m_guard.wrap([this](const Result<QList<KeyValue>> &entries) {
                         m_watchWaits = false;
                         setPlatformReachable(entries.has_value());
                         if (entries.has_value())
                             watchAnswered(entries.value());
                         else
                             watchAgainLater();
                     }));
}

void ConfigurationSpread::watchAnswered(const QList<KeyValue> &entries)
{
    const LogPage page = readLogPage(entries);
    m_watched = std::max(m_watched, page.highest);
    m_store.applyPage(page);
    if (m_watching)
        watch();
}

void ConfigurationSpread::watchAgainLater()
{
    m_watchRetry = m_timers.after(nextDelay(), [this] {
        m_watchRetry.reset();
        if (m_watching)
            watch();
    });
}

void ConfigurationSpread::versionHeard(const VmId &from, ConfigurationVersion version)
{
    m_heard = std::max(m_heard, version);
    if (version <= m_store.version())
        return;
    pullFrom(from);
    fallBackLater();
}

void ConfigurationSpread::pullFrom(const VmId &peer)
{
    const MonotonicTime now = m_timers.now();
    const bool isUnderWay = m_pull && now - m_pull->sentAt < PullTime;
    if (isUnderWay)
        return;
    m_pull = Pull{peer, now, {}, {}};
    sendPull(0);
}

void ConfigurationSpread::sendPull(int part)
{
    m_pull->sentAt = m_timers.now();
    const QCborMap body{{After, m_store.version().value()}, {Part, part}};
    m_peers.send(m_pull->peer, PeerMessageKind::ConfigurationPull, body);
}

void ConfigurationSpread::answerPull(const VmId &peer, const QCborMap &body)
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
        m_served = snapshotParts(QJsonDocument(m_store.document()).toJson(QJsonDocument::Compact),
                                 PeerPartSize);
        m_servedVersion = version;
    }
    if (part < 0 || part >= m_served.size())
        return;
    m_peers.send(peer, PeerMessageKind::ConfigurationChanges,
                 {{Version, version.value()},
                  {Part, part},
                  {Parts, m_served.size()},
                  {Document, m_served.at(part)}});
}

std::optional<QCborMap> ConfigurationSpread::changesMessage(ConfigurationVersion after) const
{
    const std::optional<QList<ConfigurationChange>> changes = m_store.changesAfter(after);
    if (!changes)
        return std::nullopt;
    QCborArray list;
    qsizetype size = 0;
    for (const ConfigurationChange &change : *changes) {
        const QCborMap encoded = changeToCbor(change);
        size += encoded.toCborValue().toCbor().size();
        // The rest is pulled when these are in force; one change alone may be larger.
        if (size > PeerPartSize && !list.isEmpty())
            break;
        list.append(encoded);
    }
    return QCborMap{{Changes, list}};
}

void ConfigurationSpread::takeChanges(const QCborMap &body)
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

void ConfigurationSpread::takeDocumentPart(const VmId &peer, const QCborMap &body)
{
    if (!m_pull || m_pull->peer != peer)
        return;
    const ConfigurationVersion version(body[Version].toInteger());
    const qint64 part = body[Part].toInteger();
    if (version != m_pull->documentVersion) {
        // The peer has gone on to another version while its document was being pulled.
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

void ConfigurationSpread::sendOut()
{
    const std::optional<ConfigurationVersion> before = std::exchange(m_sentOut, m_store.version());
    // What a daemon has when it starts is no news.
    if (!m_watching || !before || m_store.version() <= *before)
        return;
    std::optional<QCborMap> message = changesMessage(*before);
    if (!message)
        return;
    message->insert(Root, m_members.self().text());
    relay(*message, m_members.self(), m_store.version());
}

void ConfigurationSpread::relay(const QCborMap &message, const VmId &root,
                                ConfigurationVersion version)
{
    // Each tree is followed to its end, also with changes that came along another before: if
    // daemons passed on only what is new to them, two trees could cut off each other's branches.
    if (m_relayed.size() > MostTrees)
        m_relayed.clear(); // of VMs that have gone; at worst a message is passed on twice
    ConfigurationVersion &relayed = m_relayed[root];
    if (version <= relayed)
        return;
    relayed = version;
    const QList<VmId> children =
        spreadChildren(liveInOwnDataCentre(), root, m_members.self(), FanOut);
    for (const VmId &child : children)
        m_peers.send(child, PeerMessageKind::ConfigurationChanges, message);
}

void ConfigurationSpread::fallBackLater()
{
    if (m_fallback)
        return;
    m_fallback = m_timers.after(withJitter(FallbackTime, FallbackJitter), [this] {
        m_fallback.reset();
        if (needsLoad())
            load();
    });
}

} // namespace cranberry
