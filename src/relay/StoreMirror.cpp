#include "relay/StoreMirror.h"

#include "base/EventLog.h"
#include "base/TimerService.h"
#include "base/TimerSubscription.h"
#include "http/HttpClient.h"
#include "relay/RelayCounters.h"
#include "relay/StalenessPlan.h"
#include "relay/StateResponses.h"
#include "relay/StoreProtocol.h"

#include <QRandomGenerator>
#include <QSet>

namespace cranberry {

namespace {

/// A watch is answered within some milliseconds after its wait. A slow store takes 60 times as
/// long.
constexpr Milliseconds WatchTimeoutMargin{600};
/// A read takes some milliseconds. A slow store takes 60 times as long.
constexpr Milliseconds ReadTimeout{1500};
constexpr Milliseconds ConnectTimeout{500};
/// Pages older than this are read again: the changes since the first page must still be in the
/// store's history, which may cover only a few seconds.
constexpr Milliseconds MaxPageAge{3000};
/// Added to the timeout of a call for the transfer of the response. The configuration document can
/// be as large as the store's largest value, a megabyte before base64 encoding, and other traffic
/// may leave it only part of a 10 Mbit/s link.
constexpr Milliseconds TransferAllowance{5000};
/// The wait of a watch for changes that already exist.
constexpr Milliseconds CatchUpWait{100};
/// All targets of a site register within a second, and each registration would end a watch. During
/// startup the next watch is therefore opened with a longer delay. Two or three answers then
/// deliver what is registered while a starting daemon waits for others.
constexpr Milliseconds StartupPeriod{3000};
constexpr Milliseconds StartupWatchDelay{400};
constexpr Milliseconds InitialBackoff{100};
/// A target whose entry expired during an outage registers again within two seconds of the store's
/// return.
constexpr Milliseconds RemovalGrace{2000};
constexpr int StatusOk = 200;

} // namespace

StoreMirror::StoreMirror(TimerService &timers, HttpClient &client, const HttpEndpoint &store,
                         const StoreProtocol &protocol, RelayCounters &counters, QString prefix)
    : m_timers(timers)
    , m_client(client)
    , m_store(store)
    , m_protocol(protocol)
    , m_counters(counters)
    , m_prefix(std::move(prefix))
{
}

StoreMirror::~StoreMirror() = default;

void StoreMirror::start()
{
    m_started = m_timers.now();
    m_state = State::Fed;
    checkFeed();
}

void StoreMirror::call(const HttpRequest &request, Milliseconds timeout,
                       std::function<void(const StoreAnswer &)> callback)
{
    ++m_counters.storeCalls;
    m_callStart = m_timers.now();
    HttpExchangeOptions options;
    options.connectTimeout = ConnectTimeout;
    // Idle connections are not reused: a dead one would be detected only after the timeout, and a
    // new one costs a millisecond.
    options.stallTimeout = timeout;
    options.timeout = timeout + TransferAllowance;
    options.maxWithoutRoom = StateWithoutRoom;
    m_call = m_client.fetch(
        m_store, request, options,
        [this, callback = std::move(callback)](HttpExchangeEnd end, const HttpResponse &response) {
            StoreAnswer answer;
            if (end == HttpExchangeEnd::Complete)
                answer = m_protocol.readItems(response);
            if (answer.kind != StoreAnswer::Kind::Unavailable)
                m_backoff = Milliseconds(0);
            callback(answer);
        });
}

void StoreMirror::read()
{
    // A read of thousands of keys has many pages. If it began anew with each refused call, it might
    // never end.
    const bool isResumed = !m_readCursor.isEmpty() && m_timers.now() - m_readStart < MaxPageAge;
    if (!isResumed) {
        m_readItems.clear();
        m_readCursor.clear();
        m_readRevision = Revision();
        m_readStart = m_timers.now();
    }
    readPage(m_readCursor);
}

void StoreMirror::readPage(const QString &after)
{
    m_state = State::Reading;
    call(m_protocol.range(m_prefix, after), ReadTimeout,
         [this](const StoreAnswer &answer) { handlePage(answer); });
}

void StoreMirror::handlePage(const StoreAnswer &answer)
{
    if (answer.kind != StoreAnswer::Kind::Items) {
        handleUnavailable();
        return;
    }
    m_changedBy = StoreSource::Read;
    // The pages are not a snapshot: the watch continues from the first page's revision and repeats
    // what changed while the later pages were read.
    if (m_readRevision == Revision())
        m_readRevision = answer.asOf;
    for (const StoreItem &item : answer.items) {
        m_readItems.insert(item.key, item);
        // The first keys are enough to start serving.
        if (!m_hasRead)
            put(item);
    }
    if (answer.hasMore && !answer.items.isEmpty()) {
        m_readCursor = answer.items.last().key;
        readPage(m_readCursor);
        return;
    }
    m_readCursor.clear();
    finishRead();
}

void StoreMirror::finishRead()
{
    if (!m_isCurrent) {
        m_isOutageLogged = false;
        logEvent(LogLevel::Info, EventId::PlatformBack,
                 {{"prefix", m_prefix},
                  {"keys", QString::number(m_readItems.size())},
                  {"revision", QString::number(m_readRevision.value())},
                  {"age_ms", QString::number(age().count())}});
    }
    startGraceAfterOutage();
    m_isCurrent = true;
    if (!std::exchange(m_hasRead, true))
        m_firstReadRevision = m_readRevision;
    m_needsRead = false;
    const QHash<QString, StoreItem> read = std::exchange(m_readItems, {});
    // Another daemon may have sent something newer since the first page was read.
    if (!(m_readRevision < m_revision))
        applyRead(read);
    // This comes last, as the callbacks of applyRead() report the age of the copy that it replaces.
    confirm(m_readStart, StoreSource::Read);
    scheduleWatch();
}

void StoreMirror::applyRead(const QHash<QString, StoreItem> &read)
{
    m_revision = m_readRevision;
    const QList<QString> known = m_items.keys();
    for (const QString &key : known) {
        if (!read.contains(key))
            handleRemoval(key, m_readRevision);
    }
    for (const StoreItem &item : read)
        put(item);
}

void StoreMirror::scheduleWatch()
{
    if (m_feed.isFed()) {
        m_state = State::Fed;
        return;
    }
    const bool isStarting = m_timers.now() - m_started < StartupPeriod;
    m_state = State::Watching;
    m_timer = m_timers.after(isStarting ? StartupWatchDelay : m_feed.watchDelay(),
                             [this] { openWatch(); });
}

void StoreMirror::openWatch()
{
    m_state = State::Watching;
    const Milliseconds wait = m_watchWait();
    sendWatch(wait, wait + WatchTimeoutMargin);
}

void StoreMirror::sendWatch(Milliseconds wait, Milliseconds timeout)
{
    m_openWatchWait = wait;
    call(m_protocol.watch(m_prefix, m_revision, wait), timeout,
         [this](const StoreAnswer &answer) { handleWatchAnswer(answer); });
}

MonotonicTime StoreMirror::confirmedUntil(const StoreAnswer &answer) const
{
    // An answer with changes tells nothing about the time after them; one without changes covers
    // its whole wait.
    const bool isFullWait =
        answer.items.isEmpty() && m_timers.now() - m_callStart >= m_openWatchWait;
    return isFullWait ? m_callStart + m_openWatchWait : m_callStart;
}

void StoreMirror::handleWatchAnswer(const StoreAnswer &answer)
{
    m_isCatchingUp = false;
    if (answer.kind == StoreAnswer::Kind::Compacted) {
        logEvent(LogLevel::Info, EventId::StoreCompacted,
                 {{"prefix", m_prefix}, {"revision", QString::number(m_revision.value())}});
        m_needsRead = true;
        m_readCursor.clear();
        read();
        return;
    }
    if (answer.kind == StoreAnswer::Kind::Unavailable) {
        handleUnavailable();
        return;
    }
    if (!m_isCurrent) {
        m_isOutageLogged = false;
        logEvent(LogLevel::Info, EventId::PlatformBack,
                 {{"prefix", m_prefix},
                  {"revision", QString::number(answer.asOf.value())},
                  {"age_ms", QString::number(age().count())}});
        startGraceAfterOutage();
        m_isCurrent = true;
    }
    const Revision base = m_revision;
    m_changedBy = StoreSource::Watch;
    apply(answer);
    confirm(confirmedUntil(answer), StoreSource::Watch);
    m_feed.onChanges(answer, base);
    scheduleWatch();
}

void StoreMirror::apply(const StoreAnswer &answer)
{
    for (const StoreItem &item : answer.items) {
        if (item.isRemoved)
            handleRemoval(item.key, item.revision);
        else
            put(item);
    }
    m_revision = std::max(m_revision, answer.asOf);
}

void StoreMirror::readAgain()
{
    if (m_state != State::Watching && m_state != State::Fed)
        return;
    m_timer.reset();
    read();
}

bool StoreMirror::applyFeed(const StoreAnswer &answer, Revision base)
{
    // Other daemons deliver what the store does not deliver to this one.
    if (m_state == State::BackingOff) {
        m_timer.reset();
        m_state = State::Fed;
    }
    if (m_state != State::Fed)
        return false;
    const bool follows = m_hasRead && base <= m_revision;
    if (follows) {
        noteFeedRestored();
        // An older message may arrive late and would restore a key that was removed since.
        m_changedBy = StoreSource::Feed;
        if (answer.asOf > m_revision)
            apply(answer);
        return true;
    }
    if (m_feed.askPeers())
        return false;
    // A message was lost; the store still has its changes.
    if (m_hasRead)
        catchUp();
    else
        read();
    return false;
}

void StoreMirror::catchUp()
{
    m_state = State::Watching;
    m_isCatchingUp = true;
    sendWatch(CatchUpWait, ReadTimeout);
}

void StoreMirror::refresh()
{
    if (m_state != State::Fed)
        return;
    if (m_needsRead)
        read();
    else
        catchUp();
}

void StoreMirror::noteOutage(const char *by)
{
    m_isCurrent = false;
    if (std::exchange(m_isOutageLogged, true))
        return;
    m_hadOutage = m_hasRead;
    logEvent(LogLevel::Warning, EventId::PlatformDown,
             {{"prefix", m_prefix},
              {"revision", QString::number(m_revision.value())},
              {"by", QLatin1String(by)},
              {"age_ms", QString::number(age().count())},
              {"confirmed_by", QLatin1String(textOf(m_confirmedBy))}});
}

void StoreMirror::noteFeedRestored()
{
    if (m_isCurrent)
        return;
    m_isOutageLogged = false;
    logEvent(LogLevel::Info, EventId::PlatformBack,
             {{"prefix", m_prefix},
              {"revision", QString::number(m_revision.value())},
              {"by", "feed"},
              {"age_ms", QString::number(age().count())}});
    startGraceAfterOutage();
    m_isCurrent = true;
}

void StoreMirror::startGraceAfterOutage()
{
    const bool wasAway = std::exchange(m_hadOutage, false);
    // The store served some daemon when the copy was last confirmed, so the age bounds the outage.
    const bool mayHaveExpired = m_keysExpire && age() >= m_minExpiryOutage;
    if (wasAway && mayHaveExpired)
        m_removalGraceEnd = m_timers.now() + RemovalGrace;
}

void StoreMirror::checkFeed()
{
    const bool isFed = m_feed.isFed();
    if (m_state == State::Watching && isFed && !m_isCatchingUp) {
        // The open watch would cost a call for each change until it ends.
        m_call.reset();
        m_timer.reset();
        m_state = State::Fed;
        return;
    }
    if (m_state != State::Fed || isFed)
        return;
    // The daemons that watched for this one are gone, or the store is; the mirror's own watch will
    // tell.
    if (m_isCurrent)
        noteOutage("feed");
    if (m_feed.defersStoreCalls())
        return;
    logEvent(LogLevel::Info, EventId::StoreProbed,
             {{"prefix", m_prefix},
              {"call", m_needsRead ? QStringLiteral("read") : QStringLiteral("watch")},
              {"age_ms", QString::number(age().count())}});
    // Others may wait for the outcome, so it must not depend on when something changes.
    if (m_needsRead)
        read();
    else
        catchUp();
}

void StoreMirror::handleUnavailable()
{
    noteOutage("store");
    m_feed.onUnavailable();
    m_state = State::BackingOff;
    // A watch that was cut may have missed changes, and one that continues from its revision may
    // miss them as well: the store compacts its history and reports it only later. A read shows the
    // current keys.
    m_needsRead = true;
    if (m_feed.isFed() || m_feed.defersStoreCalls()) {
        m_state = State::Fed;
        return;
    }
    m_backoff = m_backoff.count() == 0 ? InitialBackoff : std::min(2 * m_backoff, m_maxBackoff());
    // The random delay keeps daemons that lost the store together from retrying together.
    const double part = 0.5 + 0.5 * QRandomGenerator::global()->generateDouble();
    retryAfter(std::chrono::duration_cast<Milliseconds>(part * m_backoff));
}

void StoreMirror::retryAfter(Milliseconds delay)
{
    m_timer = m_timers.after(delay, [this] { m_needsRead ? read() : scheduleWatch(); });
}

void StoreMirror::put(const StoreItem &item)
{
    m_pendingRemovals.remove(item.key);
    const auto known = m_items.constFind(item.key);
    if (known != m_items.cend() && known->revision >= item.revision)
        return;
    m_items.insert(item.key, item);
    m_newestRevision = std::max(m_newestRevision, item.revision);
    m_callbacks.put(item);
}

void StoreMirror::handleRemoval(const QString &key, Revision revision)
{
    if (m_items.contains(key))
        m_newestRevision = std::max(m_newestRevision, revision);
    removeAfterGrace(key);
}

void StoreMirror::removeAfterGrace(const QString &key)
{
    if (!m_items.contains(key))
        return;
    const MonotonicTime now = m_timers.now();
    if (now >= m_removalGraceEnd) {
        m_items.remove(key);
        m_callbacks.removed(key);
        return;
    }
    m_pendingRemovals.insert(key, m_removalGraceEnd);
    const auto left = std::chrono::duration_cast<Milliseconds>(m_removalGraceEnd - now);
    m_pendingRemovalTimer =
        m_timers.after(left + Milliseconds(1), [this] { retryPendingRemovals(); });
}

void StoreMirror::retryPendingRemovals()
{
    const QHash<QString, MonotonicTime> missing = std::exchange(m_pendingRemovals, {});
    for (auto entry = missing.cbegin(); entry != missing.cend(); ++entry)
        removeAfterGrace(entry.key());
}

void StoreMirror::confirm(MonotonicTime freshAsOf, StoreSource by)
{
    if (freshAsOf <= m_freshAsOf)
        return;
    if (m_freshAsOf != MonotonicTime())
        m_ages.add(double(age().count()));
    m_freshAsOf = freshAsOf;
    m_confirmedBy = by;
}

Revision StoreMirror::requiredPeerRevision() const
{
    return std::max(m_newestRevision, m_firstReadRevision);
}

Milliseconds StoreMirror::age() const
{
    if (m_freshAsOf == MonotonicTime())
        return UnknownAge;
    return std::chrono::duration_cast<Milliseconds>(m_timers.now() - m_freshAsOf);
}

void StoreMirror::mergePeerCopy(const QList<StoreItem> &changed, const QSet<QString> &keys,
                                Revision revision)
{
    if (revision <= m_revision)
        return;
    m_changedBy = StoreSource::Peer;
    if (!m_hasRead)
        m_firstReadRevision = revision;
    startGraceAfterOutage();
    for (const StoreItem &item : changed)
        put(item);
    const QList<QString> known = m_items.keys();
    for (const QString &key : known) {
        if (!keys.contains(key))
            handleRemoval(key, revision);
    }
    m_revision = revision;
    m_hasRead = true;
    // No read is needed: the next answer of the store itself is for a later revision.
    m_needsRead = false;
}

} // namespace cranberry
