#pragma once

#include "base/Ids.h"
#include "base/Units.h"
#include "relay/RetryDecision.h"
#include "relay/RetryLimits.h"

#include <QHash>
#include <QList>
#include <QSet>

#include <functional>

namespace cranberry {

/// The place of one daemon in the fleet.
struct FleetPosition {
    /// Daemons that precede it in an order that is the same for all.
    int rank = 0;
    /// All daemons; at least one.
    int daemons = 1;
};

/// What a retry is for.
enum class RetryPurpose {
    /// A plain request that is sent again.
    PlainRetry,
    /// A generation that is sent again before its first event.
    GenerationRetry,
    /// A generation that continues at another engine.
    Continuation,
};

/// Limits the retries of the whole fleet. Prevents retry storms: a fault that fails every request
/// would otherwise double the load on the remaining targets. Each daemon spends its own allowance;
/// see RetryAllowance.h. Continuations come in bursts, for example when an engine leaves that
/// serves many streams of one daemon, so that they may also use what other daemons lend.
/// Thread safety: none; one event loop.
class RelayRetryBudget
{
public:
    /// Asks other daemons for units of a service.
    using AskCallback = std::function<void(const ServiceId &service, int number, int wanted)>;

    struct Counters {
        qint64 asked = 0;
        qint64 borrowed = 0;
        qint64 lent = 0;
    };

    /// @p shareFrom: when this daemon may use its share of the slack. @p position returns its
    /// place in the fleet. @p randomFraction returns numbers from 0 to 1.
    RelayRetryBudget(RetryLimits limits, MonotonicTime shareFrom,
                     std::function<FleetPosition()> position,
                     std::function<double()> randomFraction);

    void onAsk(AskCallback callback) { m_ask = std::move(callback); }

    void countRequest(const ServiceId &service, MonotonicTime now);
    /// Announces that a Continuation may be needed soon; borrows units if too few are there.
    void expectContinuation(const ServiceId &service, MonotonicTime now);
    /// Takes one unit if one is available.
    RetryDecision take(const ServiceId &service, MonotonicTime now, RetryPurpose purpose);
    /// Records that the retry of @p unit is sent. Returns false if it must not be sent, as the unit
    /// has expired.
    bool spend(const ServiceId &service, const RetryUnit &unit, MonotonicTime now);
    /// Returns a unit whose retry was not sent.
    void giveBack(const ServiceId &service, const RetryUnit &unit, MonotonicTime now);

    /// Lends up to @p wanted units to another daemon; returns their number.
    int lend(const ServiceId &service, int wanted, MonotonicTime now);
    /// Records the answer of @p lender to ask @p number.
    void addBorrowed(const ServiceId &service, const VmId &lender, int number, int count);

    /// The units of each service at @p now, in no order.
    QHash<ServiceId, RetryDecision> figures(MonotonicTime now);
    const Counters &counters() const { return m_counters; }

private:
    struct Entry {
        RetryAllowance allowance;
        /// When continuations were expected lately.
        QList<MonotonicTime> expected;
        int askNumber = 0;
        MonotonicTime askedAt;
        /// Daemons that answered the last ask.
        QSet<VmId> lenders;
        /// When this daemon needed units lately.
        QList<MonotonicTime> needed;
    };

    Entry &entryOf(const ServiceId &service, MonotonicTime now);
    /// The share of this daemon; updates m_position.
    int share(MonotonicTime now);
    void askIfShort(const ServiceId &service, Entry &entry, int share, MonotonicTime now);
    RetryDecision figuresOf(const Entry &entry, int share, MonotonicTime now) const;

    RetryLimits m_limits;
    MonotonicTime m_shareFrom;
    std::function<FleetPosition()> m_currentPosition;
    FleetPosition m_position;
    MonotonicTime m_positionAt;
    std::function<double()> m_randomFraction;
    AskCallback m_ask;
    QHash<ServiceId, Entry> m_entries;
    Counters m_counters;
};

} // namespace cranberry
