#include "relay/StoreMirror.h"

#include "base/EventLog.h"
#include "base/TimerService.h"
#include "base/TimerSubscription.h"
#include "http/HttpClient.h"
#include "relay/RelayCounters.h"
#include "relay/StalenessPlan.h"
#include "relay/StoreProtocol.h"

#include <QRandomGenerator>
#include <QSet>

namespace cranberry {

namespace {

/// Beyond its wait a watch is answered within some ms; a slow store takes 60 times as long.
constexpr Milliseconds WatchSlack{600};
/// A read takes some ms; a slow store takes 60 times as long.
constexpr Milliseconds ReadTimeout{1500};
constexpr Milliseconds ConnectTimeout{500};
/// Pages older than this are read again: what changed since the first one must still be in the
/// store's history, which may be a few seconds long.
constexpr Milliseconds ReadHolds{3000};
/// Added to the timeout of a call for the transfer of the response. The configuration document can
/// be as large as the store's largest value, a megabyte before base64 encoding, and other traffic
/// may leave it only part of a 10 Mbit/s link.
constexpr Milliseconds TransferAllowance{5000};
/// For changes that are there already.
constexpr Milliseconds CatchUpWait{100};
/// All targets of a site announce themselves within a second, and each announcement would end a
/// watch; so at first a watch follows the last one only after a while. Two or three answers then
/// carry what comes while a daemon that starts waits for others.
constexpr Milliseconds StartTime{3000};
constexpr Milliseconds StartPace{400};
constexpr Milliseconds FirstBackoff{100};
/// A target whose entry lapsed with the store is back within two seconds of the store's return.
constexpr Milliseconds LapseGrace{2000};
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
    m_callBegan = m_timers.now();
    HttpExchangeOptions options;
    options.connectTimeout = ConnectTimeout;
    // An idle connection may have fallen silent: that would be found only after the timeout, and a
    // new one costs a millisecond.
    options.stallTimeout = timeout;
    options.timeout = timeout + TransferAllowance;
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
    // With thousands of keys a read has many pages, and one that begins anew with each refused call
    // may never end.
    const bool goesOn = !m_readUpTo.isEmpty() && m_timers.now() - m_readBegan < ReadHolds;
    if (!goesOn) {
        m_reading.clear();
        m_readUpTo.clear();
        m_readAt = Revision();
        m_readBegan = m_timers.now();
    }
    readPage(m_readUpTo);
}

void StoreMirror::readPage(const QString &after)
{
    m_state = State::Reading;
    call(m_protocol.range(m_prefix, after), ReadTimeout,
         [this](const StoreAnswer &answer) { pageRead(answer); });
}

void StoreMirror::pageRead(const StoreAnswer &answer)
{
    if (answer.kind != StoreAnswer::Kind::Items) {
        unavailable();
        return;
    }
    m_changedBy = StoreSource::Read;
    // Pages are not a snapshot: the watch goes on from the first page's revision and repeats
    // what changed while the later ones were read.
    if (m_readAt == Revision())
        m_readAt = answer.asOf;
    for (const StoreItem &item : answer.items) {
        m_reading.insert(item.key, item);
        // The first keys are enough to serve with.
        if (!m_hasRead)
            put(item);
    }
    if (answer.hasMore && !answer.items.isEmpty()) {
        m_readUpTo = answer.items.last().key;
        readPage(m_readUpTo);
        return;
    }
    m_readUpTo.clear();
    readDone();
}

void StoreMirror::readDone()
{
    if (!m_isCurrent) {
        m_isAway = false;
        logEvent(LogLevel::Info, EventId::PlatformBack,
                 {{"prefix", m_prefix},
                  {"keys", QString::number(m_reading.size())},
                  {"revision", QString::number(m_readAt.value())},
                  {"age_ms", QString::number(age().count())}});
    }
    doubtIfAway();
    m_isCurrent = true;
    if (!std::exchange(m_hasRead, true))
        m_firstReadRevision = m_readAt;
    m_needsRead = false;
    const QHash<QString, StoreItem> read = std::exchange(m_reading, {});
    // Another daemon may have told something newer since the first page was read.
    if (!(m_readAt < m_revision))
        applyRead(read);
    // Not before: the callbacks of applyRead() report the age of the copy that it replaces.
    confirm(m_readBegan, StoreSource::Read);
    watch();
}

void StoreMirror::applyRead(const QHash<QString, StoreItem> &read)
{
    m_revision = m_readAt;
    const QList<QString> known = m_items.keys();
    for (const QString &key : known) {
        if (!read.contains(key))
            removed(key, m_readAt);
    }
    for (const StoreItem &item : read)
        put(item);
}

void StoreMirror::watch()
{
    if (m_feed.isFed()) {
        m_state = State::Fed;
        return;
    }
    const bool isStarting = m_timers.now() - m_started < StartTime;
    m_state = State::Watching;
    m_timer = m_timers.after(isStarting ? StartPace : m_feed.pace(), [this] { openWatch(); });
}

void StoreMirror::openWatch()
{
    m_state = State::Watching;
    const Milliseconds wait = m_watchWait();
    watchFor(wait, wait + WatchSlack);
}

void StoreMirror::watchFor(Milliseconds wait, Milliseconds timeout)
{
    m_wait = wait;
    call(m_protocol.watch(m_prefix, m_revision, wait), timeout,
         [this](const StoreAnswer &answer) { watched(answer); });
}

MonotonicTime StoreMirror::watchedUntil(const StoreAnswer &answer) const
{
    // An answer with changes says nothing of what followed them; one without stands for its whole
    // wait.
    const bool waitedInVain = answer.items.isEmpty() && m_timers.now() - m_callBegan >= m_wait;
    return waitedInVain ? m_callBegan + m_wait : m_callBegan;
}

void StoreMirror::watched(const StoreAnswer &answer)
{
    m_isCatchingUp = false;
    if (answer.kind == StoreAnswer::Kind::Compacted) {
        logEvent(LogLevel::Info, EventId::StoreCompacted,
                 {{"prefix", m_prefix}, {"revision", QString::number(m_revision.value())}});
        m_needsRead = true;
        m_readUpTo.clear();
        read();
        return;
    }
    if (answer.kind == StoreAnswer::Kind::Unavailable) {
        unavailable();
        return;
    }
    if (!m_isCurrent) {
        m_isAway = false;
        logEvent(LogLevel::Info, EventId::PlatformBack,
                 {{"prefix", m_prefix},
                  {"revision", QString::number(answer.asOf.value())},
                  {"age_ms", QString::number(age().count())}});
        doubtIfAway();
        m_isCurrent = true;
    }
    const Revision base = m_revision;
    m_changedBy = StoreSource::Watch;
    apply(answer);
    confirm(watchedUntil(answer), StoreSource::Watch);
    m_feed.changed(answer, base);
    watch();
}

void StoreMirror::apply(const StoreAnswer &answer)
{
    for (const StoreItem &item : answer.items) {
        if (item.isRemoved)
            removed(item.key, item.revision);
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

bool StoreMirror::fed(const StoreAnswer &answer, Revision base)
{
    // What the store does not tell this daemon others do.
    if (m_state == State::Pausing) {
        m_timer.reset();
        m_state = State::Fed;
    }
    if (m_state != State::Fed)
        return false;
    const bool follows = m_hasRead && base <= m_revision;
    if (follows) {
        feedBack();
        // An older message may come late; a key that was removed since would be there again.
        m_changedBy = StoreSource::Feed;
        if (answer.asOf > m_revision)
            apply(answer);
        return true;
    }
    if (m_feed.askPeers())
        return false;
    // A message was lost: the store still has what it said.
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
    watchFor(CatchUpWait, ReadTimeout);
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

void StoreMirror::noteAway(const char *by)
{
    m_isCurrent = false;
    if (std::exchange(m_isAway, true))
        return;
    m_wasAway = m_hasRead;
    logEvent(LogLevel::Warning, EventId::PlatformDown,
             {{"prefix", m_prefix},
              {"revision", QString::number(m_revision.value())},
              {"by", QLatin1String(by)},
              {"age_ms", QString::number(age().count())},
              {"confirmed_by", QLatin1String(textOf(m_confirmedBy))}});
}

void StoreMirror::feedBack()
{
    if (m_isCurrent)
        return;
    m_isAway = false;
    logEvent(LogLevel::Info, EventId::PlatformBack,
             {{"prefix", m_prefix},
              {"revision", QString::number(m_revision.value())},
              {"by", "feed"},
              {"age_ms", QString::number(age().count())}});
    doubtIfAway();
    m_isCurrent = true;
}

void StoreMirror::doubtIfAway()
{
    const bool wasAway = std::exchange(m_wasAway, false);
    // The store served somebody when the copy was last confirmed.
    const bool mayHaveLapsed = m_keysLapse && age() >= m_lapseAfter;
    if (wasAway && mayHaveLapsed)
        m_doubtUntil = m_timers.now() + LapseGrace;
}

void StoreMirror::checkFeed()
{
    const bool isFed = m_feed.isFed();
    if (m_state == State::Watching && isFed && !m_isCatchingUp) {
        // A long watch would cost a call with each change until it ends.
        m_call.reset();
        m_timer.reset();
        m_state = State::Fed;
        return;
    }
    if (m_state != State::Fed || isFed)
        return;
    // The daemons that watched for this one are gone, or the store is: the own watch will tell.
    if (m_isCurrent)
        noteAway("feed");
    if (m_feed.holdsBack())
        return;
    logEvent(LogLevel::Info, EventId::StoreProbed,
             {{"prefix", m_prefix},
              {"call", m_needsRead ? QStringLiteral("read") : QStringLiteral("watch")},
              {"age_ms", QString::number(age().count())}});
    // Others may wait for the outcome, so that it must not depend on when something changes.
    if (m_needsRead)
        read();
    else
        catchUp();
}

void StoreMirror::unavailable()
{
    noteAway("store");
    m_feed.lost();
    m_state = State::Pausing;
    // A watch that is cut may have heard nothing for a while, and one that goes on from there may
    // hear nothing either: the store forgets history and says so only later. A read shows what is
    // there.
    m_needsRead = true;
    if (m_feed.isFed() || m_feed.holdsBack()) {
        m_state = State::Fed;
        return;
    }
    m_backoff = m_backoff.count() == 0 ? FirstBackoff : std::min(2 * m_backoff, m_longestBackoff());
    // Daemons that lost the store together do not come back together.
    const double part = 0.5 + 0.5 * QRandomGenerator::global()->generateDouble();
    again(std::chrono::duration_cast<Milliseconds>(part * m_backoff));
}

void StoreMirror::again(Milliseconds delay)
{
    m_timer = m_timers.after(delay, [this] { m_needsRead ? read() : watch(); });
}

void StoreMirror::put(const StoreItem &item)
{
    m_missing.remove(item.key);
    const auto known = m_items.constFind(item.key);
    if (known != m_items.cend() && known->revision >= item.revision)
        return;
    m_items.insert(item.key, item);
    m_newest = std::max(m_newest, item.revision);
    m_callbacks.put(item);
}

void StoreMirror::removed(const QString &key, Revision revision)
{
    if (m_items.contains(key))
        m_newest = std::max(m_newest, revision);
    removeLater(key);
}

void StoreMirror::removeLater(const QString &key)
{
    if (!m_items.contains(key))
        return;
    if (m_timers.now() >= m_doubtUntil) {
        m_items.remove(key);
        m_callbacks.removed(key);
        return;
    }
    m_missing.insert(key, m_doubtUntil);
    m_missingTimer = m_timers.after(
        std::chrono::duration_cast<Milliseconds>(m_doubtUntil - m_timers.now()) + Milliseconds(1),
        [this] { removeMissing(); });
}

void StoreMirror::removeMissing()
{
    const QHash<QString, MonotonicTime> missing = std::exchange(m_missing, {});
    for (auto entry = missing.cbegin(); entry != missing.cend(); ++entry)
        removeLater(entry.key());
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
    return std::max(m_newest, m_firstReadRevision);
}

Milliseconds StoreMirror::age() const
{
    if (m_freshAsOf == MonotonicTime())
        return UnknownAge;
    return std::chrono::duration_cast<Milliseconds>(m_timers.now() - m_freshAsOf);
}

void StoreMirror::takeFrom(const QList<StoreItem> &changed, const QSet<QString> &keys,
                           Revision revision)
{
    if (revision <= m_revision)
        return;
    m_changedBy = StoreSource::Peer;
    if (!m_hasRead)
        m_firstReadRevision = revision;
    doubtIfAway();
    for (const StoreItem &item : changed)
        put(item);
    const QList<QString> known = m_items.keys();
    for (const QString &key : known) {
        if (!keys.contains(key))
            removed(key, revision);
    }
    m_revision = revision;
    m_hasRead = true;
    // The next answer of the store itself stands for a later revision.
    m_needsRead = false;
}

} // namespace cranberry
