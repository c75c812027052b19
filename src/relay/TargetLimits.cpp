#include "relay/TargetLimits.h"

#include "base/EventLog.h"
#include "base/TimerService.h"
#include "base/TimerSubscription.h"
#include "relay/AnswerHead.h"

#include <QRandomGenerator>

#include <algorithm>
#include <vector>

namespace cranberry {

namespace {

/// Each name is logged once; targets that send random names must not fill the log.
constexpr qsizetype MaxUnknownHeaders = 100;
constexpr qsizetype MaxLoggedText = 60;
/// Waiting requests are tried again if an ask has no answer after this time.
constexpr Milliseconds AnswerTimeout{300};
/// The entry of a target may be missing for some time although it runs.
constexpr Milliseconds ForgetDelay{120000};
/// The end of a limit is announced for this time, as datagrams may be lost.
constexpr Milliseconds EndAnnouncementTime{2000};
/// Late messages that still name a limit are compared with its end for this time.
constexpr Milliseconds EndedForgetDelay{10000};

QString textOf(const std::optional<double> &perSecond)
{
    return perSecond ? QString::number(*perSecond) : QStringLiteral("none");
}

} // namespace

TargetLimits::TargetLimits(TimerService &timers)
    : m_timers(timers)
    , m_ask([](const PermitAsk &) {})
    , m_news([](const LimitNews &) {})
    , m_changed([] {})
{
}

TargetLimits::~TargetLimits() = default;

void TargetLimits::recordAnswer(const TargetId &target, const AnswerHead &head, MonotonicTime asked)
{
    logUnknownHeaders(target, head);
    // Another target answered, which says nothing about this one.
    if (head.isMisdirected)
        return;
    if (!head.unreadableLimit.isEmpty()) {
        logEvent(LogLevel::Warning, EventId::TargetLimitUnreadable,
                 {{"target", target.text()},
                  {"value", QString::fromLatin1(head.unreadableLimit.left(MaxLoggedText))}});
        return;
    }
    // An answer that a target did not complete or seal may have lost the header.
    const bool isOfTarget = head.isSealed && !head.isUnusable;
    if (!head.requestsPerSecond && !isOfTarget)
        return;
    const LimitNews news{target, {head.requestsPerSecond, asked, m_timers.now()}};
    const bool isChanged = merge(news, QStringLiteral("answer"));
    const auto known = m_entries.find(target);
    if (known == m_entries.end())
        return;
    Entry &entry = known->second;
    // Once all daemons send to the target again, each of them has such answers.
    const bool isWorthRepeating =
        entry.evidence.perSecond || m_timers.now() - entry.changedAt < EndAnnouncementTime;
    entry.isUnannounced = !isChanged && isWorthRepeating;
    if (isChanged)
        m_news({target, entry.evidence});
}

void TargetLimits::recordNews(const LimitNews &news, const VmId &from)
{
    merge(news, from.text());
}

bool TargetLimits::merge(const LimitNews &news, const QString &source)
{
    const auto known = m_entries.find(news.target);
    if (known == m_entries.end() && !news.evidence.perSecond)
        return false;
    const bool isNew = known == m_entries.end();
    Entry &entry = isNew ? m_entries[news.target] : known->second;
    const std::optional<double> before = entry.evidence.perSecond;
    entry.evidence = isNew ? news.evidence : mergeEvidence(entry.evidence, news.evidence);
    entry.knownAt = m_timers.now();
    if (entry.evidence.perSecond == before)
        return false;
    entry.changedAt = m_timers.now();
    const auto age = std::chrono::duration_cast<Milliseconds>(m_timers.now() - news.evidence.asked);
    logEvent(LogLevel::Info,
             entry.evidence.perSecond ? EventId::TargetLimited : EventId::TargetLimitEnded,
             {{"target", news.target.text()},
              {"per_second", textOf(entry.evidence.perSecond)},
              {"before", textOf(before)},
              {"by", source},
              {"age_ms", QString::number(age.count())}});
    m_changed();
    return true;
}

QList<LimitNews> TargetLimits::known() const
{
    QList<LimitNews> all;
    for (const auto &[target, entry] : m_entries) {
        if (entry.evidence.perSecond)
            all.append({target, entry.evidence});
    }
    return all;
}

QList<LimitNews> TargetLimits::takeUnannounced()
{
    QList<LimitNews> news;
    for (auto &[target, entry] : m_entries) {
        if (std::exchange(entry.isUnannounced, false))
            news.append({target, entry.evidence});
    }
    return news;
}

std::optional<double> TargetLimits::limitOf(const TargetId &target) const
{
    const auto known = m_entries.find(target);
    return known == m_entries.end() ? std::nullopt : known->second.evidence.perSecond;
}

QSet<TargetId> TargetLimits::withoutPermit() const
{
    QSet<TargetId> targets;
    const MonotonicTime now = m_timers.now();
    for (const auto &[target, entry] : m_entries) {
        if (entry.evidence.perSecond && !hasPermit(entry.stock, now))
            targets.insert(target);
    }
    return targets;
}

void TargetLimits::requestPermit(const TargetId &target, bool isFirst)
{
    const auto known = m_entries.find(target);
    if (known == m_entries.end() || !known->second.evidence.perSecond)
        return;
    Entry &entry = known->second;
    entry.stock.wanted += isFirst ? 1 : 0;
    if (shouldAsk(entry.stock, m_timers.now()))
        ask(target, entry);
}

void TargetLimits::ask(const TargetId &target, Entry &entry)
{
    ++m_counters.asks;
    PermitAsk ask;
    ask.news = {target, entry.evidence};
    ask.wanted = std::clamp(entry.stock.wanted, 1, MaxPermitsPerGrant);
    beginAsk(entry.stock, m_timers.now());
    ask.number = entry.stock.askNumber;
    ask.unreported = entry.stock.reported;
    scheduleRetry(entry, AnswerTimeout);
    m_ask(ask);
}

void TargetLimits::handleAnswer(const PermitAnswer &answer, const VmId &owner)
{
    const auto known = m_entries.find(answer.target);
    if (known == m_entries.end())
        return;
    Entry &entry = known->second;
    const MonotonicTime now = m_timers.now();
    const auto took = std::chrono::duration_cast<Milliseconds>(now - entry.stock.askedAt);
    const bool isApplied = applyGrant(entry.stock, answer.number, answer.grant, now);
    logEvent(LogLevel::Info, EventId::PermitsAnswered,
             {{"target", answer.target.text()},
              {"owner", owner.text()},
              {"granted", QString::number(answer.grant.count)},
              {"next_ms", QString::number(answer.grant.askAgainIn.count())},
              {"took_ms", QString::number(took.count())},
              {"current", isApplied ? QStringLiteral("yes") : QStringLiteral("no")}});
    if (!isApplied)
        return;
    m_counters.permitsReceived += answer.grant.count;
    if (answer.grant.count > 0)
        entry.retryTimer.reset();
    else
        scheduleRetry(entry, answer.grant.askAgainIn);
    m_changed();
}

void TargetLimits::scheduleRetry(Entry &entry, Milliseconds delay)
{
    entry.retryTimer = m_timers.after(delay, [this] { m_changed(); });
}

void TargetLimits::recordSent(const TargetId &target)
{
    const auto known = m_entries.find(target);
    if (known == m_entries.end() || !known->second.evidence.perSecond)
        return;
    const MonotonicTime now = m_timers.now();
    PermitStock &stock = known->second.stock;
    if (hasPermit(stock, now)) {
        ++m_counters.sentWithPermit;
        spendPermit(stock, now);
        return;
    }
    ++m_counters.sentWithoutPermit;
    spendPermit(stock, now);
    // The owner must know of it before it hands out more.
    if (shouldAsk(stock, now))
        ask(target, known->second);
}

std::optional<Milliseconds> TargetLimits::untilPermit(const TargetId &target) const
{
    const auto known = m_entries.find(target);
    if (known == m_entries.end() || !known->second.evidence.perSecond)
        return std::nullopt;
    return cranberry::untilPermit(known->second.stock, m_timers.now());
}

Milliseconds TargetLimits::reject(const QList<TargetId> &targets)
{
    ++m_counters.rejected;
    const MonotonicTime now = m_timers.now();
    Milliseconds untilNext = MaxAskDelay;
    double permitsPerMs = 0;
    MonotonicTime nextRetry;
    std::vector<PermitStock *> stocks;
    for (const TargetId &target : targets) {
        const auto known = m_entries.find(target);
        if (known == m_entries.end())
            continue;
        PermitStock &stock = known->second.stock;
        stocks.push_back(&stock);
        untilNext = std::min(untilNext, cranberry::untilPermit(stock, now));
        permitsPerMs += 1.0 / double(std::max<qint64>(stock.interval.count(), 1));
        nextRetry = std::max(nextRetry, stock.nextRetry);
    }
    const Milliseconds interval(qint64(permitsPerMs > 0 ? 1 / permitsPerMs : 0));
    const Milliseconds delay = retryDelay(nextRetry, untilNext, interval, now,
                                          QRandomGenerator::global()->generateDouble());
    for (PermitStock *stock : stocks)
        stock->nextRetry = nextRetry;
    return delay;
}

void TargetLimits::forgetGone(const std::function<bool(const TargetId &)> &isKnown)
{
    const MonotonicTime now = m_timers.now();
    for (auto entry = m_entries.begin(); entry != m_entries.end();) {
        if (isKnown(entry->first))
            entry->second.knownAt = now;
        const bool isEnded =
            !entry->second.evidence.perSecond && now - entry->second.changedAt > EndedForgetDelay;
        const bool isGone = isEnded || now - entry->second.knownAt > ForgetDelay;
        entry = isGone ? m_entries.erase(entry) : std::next(entry);
    }
}

void TargetLimits::logUnknownHeaders(const TargetId &target, const AnswerHead &head)
{
    for (const QByteArray &name : head.unknownHeaders) {
        const QByteArray key = name.toLower();
        if (m_unknownHeaders.size() >= MaxUnknownHeaders || m_unknownHeaders.contains(key))
            continue;
        m_unknownHeaders.insert(key);
        logEvent(
            LogLevel::Warning, EventId::AnswerHeaderUnknown,
            {{"target", target.text()}, {"header", QString::fromLatin1(key.left(MaxLoggedText))}});
    }
}

} // namespace cranberry
