#pragma once

#include "base/Ids.h"
#include "relay/LimitMessages.h"
#include "relay/RateEvidence.h"
#include "relay/RatePermits.h"

#include <QList>
#include <QSet>

#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace cranberry {

class TimerService;
class TimerSubscription;
struct AnswerHead;

/// The rate limits that targets name in their answers, and the permits of this daemon for targets
/// with a limit. A limit holds for all daemons together: each request to such a target needs a
/// permit of the target's owner; see RatePermits.h and LimitExchange.
/// Thread safety: only from the thread of the event loop.
class TargetLimits
{
public:
    using AskCallback = std::function<void(const PermitAsk &ask)>;
    using NewsCallback = std::function<void(const LimitNews &news)>;
    using ChangedCallback = std::function<void()>;

    struct Counters {
        qint64 asks = 0;
        qint64 permitsReceived = 0;
        qint64 sentWithPermit = 0;
        /// Requests that could not wait for a permit: generations that continue elsewhere.
        qint64 sentWithoutPermit = 0;
        qint64 rejected = 0;
    };

    /// Precondition: @p timers outlives the object.
    explicit TargetLimits(TimerService &timers);
    ~TargetLimits();

    /// Called when the owner of a target should be asked; answered by handleAnswer(), also at once.
    void onAsk(AskCallback callback) { m_ask = std::move(callback); }
    /// Called when an answer to this daemon changes what is known of a limit.
    void onNews(NewsCallback callback) { m_news = std::move(callback); }
    /// Called when requests that wait for a permit should be tried again.
    void onChanged(ChangedCallback callback) { m_changed = std::move(callback); }

    /// Records the head of an answer of @p target to a request that was sent at @p asked.
    void recordAnswer(const TargetId &target, const AnswerHead &head, MonotonicTime asked);
    /// Merges what another daemon knows.
    void recordNews(const LimitNews &news, const VmId &from);
    void handleAnswer(const PermitAnswer &answer, const VmId &owner);

    /// What is known of the targets that name a limit.
    QList<LimitNews> known() const;
    /// What answers to this daemon have shown since the last call.
    QList<LimitNews> takeUnannounced();
    /// The limit of @p target; unset if it names none.
    std::optional<double> limitOf(const TargetId &target) const;
    bool isLimited(const TargetId &target) const { return limitOf(target).has_value(); }
    /// Whether any target may have a limit; cheap.
    bool isAnyLimited() const { return !m_entries.empty(); }
    /// The targets to which nothing may be sent now for lack of a permit.
    QSet<TargetId> withoutPermit() const;

    /// Asks for a permit if @p target needs one and there is none. @p isFirst: the request has not
    /// asked before.
    void requestPermit(const TargetId &target, bool isFirst);
    /// Records a request that is sent to @p target.
    void recordSent(const TargetId &target);
    /// The time until a permit for @p target may be there; unset if it names no limit.
    std::optional<Milliseconds> untilPermit(const TargetId &target) const;
    /// Records that a caller is rejected as none of @p targets has a permit left. Returns the delay
    /// after which it should retry. Precondition: @p targets name limits and are not empty.
    Milliseconds reject(const QList<TargetId> &targets);

    /// Forgets limits that ended some time ago, and those of targets for which @p isKnown has
    /// returned false for some time.
    void forgetGone(const std::function<bool(const TargetId &)> &isKnown);
    const Counters &counters() const { return m_counters; }

private:
    struct Entry {
        RateEvidence evidence;
        PermitStock stock;
        /// An answer to this daemon has shown something that was not announced.
        bool isUnannounced = false;
        /// When the limit last began, changed or ended.
        MonotonicTime changedAt;
        /// When the target was last known to exist.
        MonotonicTime knownAt;
        std::unique_ptr<TimerSubscription> retryTimer;
    };

    bool merge(const LimitNews &news, const QString &source);
    void ask(const TargetId &target, Entry &entry);
    void scheduleRetry(Entry &entry, Milliseconds delay);
    void logUnknownHeaders(const TargetId &target, const AnswerHead &head);

    TimerService &m_timers;
    std::map<TargetId, Entry> m_entries;
    QSet<QByteArray> m_unknownHeaders;
    Counters m_counters;
    AskCallback m_ask;
    NewsCallback m_news;
    ChangedCallback m_changed;
};

} // namespace cranberry
