#include "relay/RetryAllowance.h"

#include "relay/RetryLimits.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace cranberry {

namespace {

/// Lifetime of an earned unit as a fraction of the window. Retries of a window are paid by the
/// requests of the window and of this time before it.
constexpr double EarnedLifetime = 1.0 / 3;
/// Fraction of the ratio that is earned: units saved before a window and those borrowed add up to
/// (EarnedLifetime * window + BorrowedLifetime) / window to it.
constexpr double EarnedRatio = 0.66;
/// Fraction of the slack that is shared out.
constexpr double SharedSlack = 0.85;
/// Time between a decision and the arrival of a retry at its target: a connection may have to be
/// opened.
constexpr Milliseconds MaxArrivalDelay{500};

MonotonicTime::duration earnedLifetime(const RetryLimits &limits)
{
    return std::chrono::duration_cast<MonotonicTime::duration>(EarnedLifetime * limits.window);
}

int unused(const RetryAllowance &allowance, int share, double reserve, MonotonicTime now)
{
    if (now < allowance.shareFrom)
        return 0;
    const int units = int(std::floor(share * (1 - reserve)));
    return std::max(0, units - int(allowance.used.size()));
}

void removeUntil(QList<MonotonicTime> &times, MonotonicTime now)
{
    times.removeIf([now](MonotonicTime time) { return time <= now; });
}

/// Removes the unit that expires first. Precondition: @p times is not empty.
MonotonicTime takeFirst(QList<MonotonicTime> &times)
{
    const auto first = std::min_element(times.begin(), times.end());
    const MonotonicTime time = *first;
    times.erase(first);
    return time;
}

} // namespace

const char *retrySourceName(RetrySource source)
{
    switch (source) {
    case RetrySource::Earned:
        return "earned";
    case RetrySource::Share:
        return "share";
    case RetrySource::Borrowed:
        return "borrowed";
    }
    return "";
}

Milliseconds shareRenewal(const RetryLimits &limits)
{
    return limits.window + MaxArrivalDelay;
}

int retryShare(const RetryLimits &limits, int rank, int daemons)
{
    const int units = int(std::floor(SharedSlack * limits.slack));
    return units / daemons + (rank < units % daemons ? 1 : 0);
}

void earnByRequest(RetryAllowance &allowance, const RetryLimits &limits, MonotonicTime now)
{
    allowance.earnedFraction += EarnedRatio * limits.ratio;
    if (allowance.earnedFraction < 1)
        return;
    allowance.earnedFraction -= 1;
    allowance.earned.append(now + earnedLifetime(limits));
}

void removeExpired(RetryAllowance &allowance, const RetryLimits &limits, MonotonicTime now)
{
    removeUntil(allowance.earned, now);
    removeUntil(allowance.borrowed, now);
    removeUntil(allowance.used, now - shareRenewal(limits));
}

int availableUnits(const RetryAllowance &allowance, int share, double reserve, MonotonicTime now)
{
    return int(allowance.earned.size()) + unused(allowance, share, reserve, now);
}

std::optional<RetryUnit> takeUnit(RetryAllowance &allowance, int share, double reserve,
                                  bool mayUseBorrowed, MonotonicTime now)
{
    if (mayUseBorrowed && !allowance.borrowed.isEmpty())
        return RetryUnit{RetrySource::Borrowed, now, takeFirst(allowance.borrowed)};
    if (!allowance.earned.isEmpty())
        return RetryUnit{RetrySource::Earned, now, takeFirst(allowance.earned)};
    if (unused(allowance, share, reserve, now) == 0)
        return std::nullopt;
    allowance.used.append(now);
    return RetryUnit{RetrySource::Share, now, {}};
}

bool spendUnit(RetryAllowance &allowance, const RetryUnit &unit, MonotonicTime now)
{
    if (unit.source != RetrySource::Share)
        return now < unit.expiry;
    const qsizetype used = allowance.used.indexOf(unit.usedAt);
    if (used < 0)
        return false;
    allowance.used[used] = now;
    return true;
}

void returnUnit(RetryAllowance &allowance, const RetryUnit &unit, MonotonicTime now)
{
    if (unit.source == RetrySource::Share)
        allowance.used.removeOne(unit.usedAt);
    else if (now < unit.expiry)
        (unit.source == RetrySource::Earned ? allowance.earned : allowance.borrowed)
            .append(unit.expiry);
}

int lendUnits(RetryAllowance &allowance, int share, int wanted, MonotonicTime now)
{
    int lent = 0;
    for (; lent < wanted && !allowance.earned.isEmpty(); ++lent)
        takeFirst(allowance.earned);
    for (int left = unused(allowance, share, 0, now); lent < wanted && left > 0; ++lent, --left) {
        // The other daemon may use it until it expires.
        allowance.used.append(now + BorrowedLifetime);
    }
    return lent;
}

void addBorrowed(RetryAllowance &allowance, int count, MonotonicTime askedAt)
{
    for (int unit = 0; unit < count; ++unit)
        allowance.borrowed.append(askedAt + BorrowedLifetime);
}

} // namespace cranberry
