#include "relay/RelayRetryBudget.h"

#include <algorithm>

namespace cranberry {

namespace {

/// Fractions of the share that are kept for more urgent retries.
constexpr double PlainReserve = 0.5;
constexpr double GenerationReserve = 0;
/// A daemon keeps as many units as it needed itself within this time, and lends the others.
constexpr Milliseconds OwnNeedTime{1000};
/// Continuations that are expected longer than this have taken their unit or need none.
constexpr Milliseconds ExpectedTime{1000};
/// The position is computed again after this time, as it takes a pass over all daemons.
constexpr Milliseconds PositionLifetime{1000};
/// Minimum time between two asks for units of a service.
constexpr Milliseconds AskInterval{50};

double reserveOf(RetryPurpose purpose)
{
    switch (purpose) {
    case RetryPurpose::PlainRetry:
        return PlainReserve;
    case RetryPurpose::GenerationRetry:
        return GenerationReserve;
    case RetryPurpose::Continuation:
        break;
    }
    return 0;
}

} // namespace

RelayRetryBudget::RelayRetryBudget(RetryLimits limits, MonotonicTime shareFrom,
                                   std::function<FleetPosition()> position,
                                   std::function<double()> randomFraction)
    : m_limits(limits)
    , m_shareFrom(shareFrom)
    , m_currentPosition(std::move(position))
    , m_randomFraction(std::move(randomFraction))
{
}

int RelayRetryBudget::share(MonotonicTime now)
{
    if (m_positionAt == MonotonicTime() || now >= m_positionAt + PositionLifetime) {
        m_position = m_currentPosition();
        m_positionAt = now;
    }
    return retryShare(m_limits, m_position.rank, m_position.daemons);
}

RelayRetryBudget::Entry &RelayRetryBudget::entryOf(const ServiceId &service, MonotonicTime now)
{
    auto entry = m_entries.find(service);
    if (entry == m_entries.end()) {
        Entry opened;
        opened.allowance.shareFrom = m_shareFrom;
        opened.allowance.earnedFraction = m_randomFraction();
        entry = m_entries.insert(service, opened);
    }
    removeExpired(entry->allowance, m_limits, now);
    entry->needed.removeIf([now](MonotonicTime time) { return time < now - OwnNeedTime; });
    return *entry;
}

void RelayRetryBudget::countRequest(const ServiceId &service, MonotonicTime now)
{
    earnByRequest(entryOf(service, now).allowance, m_limits, now);
}

void RelayRetryBudget::expectContinuation(const ServiceId &service, MonotonicTime now)
{
    const int part = share(now);
    Entry &entry = entryOf(service, now);
    entry.expected.removeIf([now](MonotonicTime time) { return time < now - ExpectedTime; });
    entry.expected.append(now);
    askIfShort(service, entry, part, now);
}

void RelayRetryBudget::askIfShort(const ServiceId &service, Entry &entry, int share,
                                  MonotonicTime now)
{
    const int there =
        availableUnits(entry.allowance, share, 0, now) + int(entry.allowance.borrowed.size());
    const int wanted = std::max(int(entry.expected.size()), 1) - there;
    if (wanted <= 0 || !m_ask || now < entry.askedAt + AskInterval)
        return;
    entry.askedAt = now;
    ++entry.askNumber;
    entry.lenders.clear();
    ++m_counters.asked;
    m_ask(service, entry.askNumber, wanted);
}

RetryDecision RelayRetryBudget::figuresOf(const Entry &entry, int share, MonotonicTime now) const
{
    RetryDecision figures;
    figures.earned = int(entry.allowance.earned.size());
    figures.borrowed = int(entry.allowance.borrowed.size());
    figures.unusedShare = availableUnits(entry.allowance, share, 0, now) - figures.earned;
    figures.share = share;
    figures.daemons = m_position.daemons;
    if (now < m_shareFrom)
        figures.untilShare = std::chrono::ceil<Milliseconds>(m_shareFrom - now);
    return figures;
}

RetryDecision RelayRetryBudget::take(const ServiceId &service, MonotonicTime now,
                                     RetryPurpose purpose)
{
    const int part = share(now);
    Entry &entry = entryOf(service, now);
    RetryDecision decision = figuresOf(entry, part, now);
    const bool isContinuation = purpose == RetryPurpose::Continuation;
    decision.unit = takeUnit(entry.allowance, part, reserveOf(purpose), isContinuation, now);
    entry.needed.append(now);
    if (isContinuation && decision.unit && !entry.expected.isEmpty())
        entry.expected.removeFirst();
    if (isContinuation && !decision.unit)
        askIfShort(service, entry, part, now);
    return decision;
}

bool RelayRetryBudget::spend(const ServiceId &service, const RetryUnit &unit, MonotonicTime now)
{
    return spendUnit(entryOf(service, now).allowance, unit, now);
}

void RelayRetryBudget::giveBack(const ServiceId &service, const RetryUnit &unit, MonotonicTime now)
{
    returnUnit(entryOf(service, now).allowance, unit, now);
}

int RelayRetryBudget::lend(const ServiceId &service, int wanted, MonotonicTime now)
{
    const int part = share(now);
    Entry &entry = entryOf(service, now);
    const int surplus = availableUnits(entry.allowance, part, 0, now) - int(entry.needed.size());
    const int lent = lendUnits(entry.allowance, part, std::min(wanted, surplus), now);
    m_counters.lent += lent;
    return lent;
}

void RelayRetryBudget::addBorrowed(const ServiceId &service, const VmId &lender, int number,
                                   int count)
{
    const auto entry = m_entries.find(service);
    if (entry == m_entries.end() || number != entry->askNumber || entry->lenders.contains(lender))
        return;
    entry->lenders.insert(lender);
    m_counters.borrowed += count;
    cranberry::addBorrowed(entry->allowance, count, entry->askedAt);
}

QHash<ServiceId, RetryDecision> RelayRetryBudget::figures(MonotonicTime now)
{
    const int part = share(now);
    QHash<ServiceId, RetryDecision> all;
    for (auto entry = m_entries.begin(); entry != m_entries.end(); ++entry) {
        removeExpired(entry->allowance, m_limits, now);
        all.insert(entry.key(), figuresOf(*entry, part, now));
    }
    return all;
}

} // namespace cranberry
