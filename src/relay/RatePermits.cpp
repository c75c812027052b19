#include "relay/RatePermits.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cranberry {

namespace {

/// Permits that no daemon asks for are kept up to this time's worth of the limit.
constexpr double MaxSavedSeconds = 0.25;
/// Owners of all parts together keep about this number in any case, so that a permit is not lost
/// when it is asked for late.
constexpr double MinSaved = 2;
/// Only an answer shows that a limit has ended or grown, also one of zero.
constexpr double MinPerSecond = 0.2;
/// Requests without a permit delay later permits by at most this time.
constexpr double MaxDebtSeconds = 10;
/// An ask or its answer is lost if no answer has arrived after this time.
constexpr Milliseconds AskTimeout{250};
constexpr Milliseconds MinAskDelay{10};
/// Callers have only some seconds left; one that is told a longer delay does not come back.
constexpr Milliseconds MaxRetryDelay{5000};
/// Absorbs rounding in sums of refills.
constexpr double Epsilon = 1e-6;

using Seconds = std::chrono::duration<double>;

Milliseconds toMilliseconds(double seconds)
{
    const double limit = Seconds(MaxAskDelay).count();
    return std::chrono::ceil<Milliseconds>(Seconds(std::clamp(seconds, 0.0, limit)));
}

/// Up to @p limit; shorter by up to a half at random if @p delay exceeds it.
Milliseconds capped(Milliseconds delay, Milliseconds limit, double randomFraction)
{
    if (delay < limit)
        return delay;
    return std::chrono::duration_cast<Milliseconds>((1 - randomFraction / 2) * limit);
}

void refill(PermitBucket &bucket, const LimitPart &part, MonotonicTime now)
{
    if (now <= bucket.refilledAt)
        return;
    const double added = part.perSecond * Seconds(now - bucket.refilledAt).count();
    bucket.permits = std::min(part.maxSaved, bucket.permits + added);
    bucket.refilledAt = now;
}

} // namespace

LimitPart limitPart(double perSecond, int reachable, int daemons)
{
    if (reachable <= 0 || daemons <= 0)
        return {};
    const double fraction = double(std::min(reachable, daemons)) / daemons;
    const double handedOut = std::max(perSecond, MinPerSecond) * fraction;
    return {handedOut, std::max({1.0, MinSaved * fraction, handedOut * MaxSavedSeconds})};
}

PermitBucket openBucket(MonotonicTime now)
{
    PermitBucket bucket;
    bucket.refilledAt = now + PermitLifetime;
    bucket.nextDue = bucket.refilledAt;
    return bucket;
}

PermitGrant grantPermits(PermitBucket &bucket, const LimitPart &part, int wanted, int unreported,
                         MonotonicTime now, double randomFraction)
{
    refill(bucket, part, now);
    const double maxDebt = std::max(1.0, part.perSecond * MaxDebtSeconds);
    bucket.permits = std::max(bucket.permits - unreported, -maxDebt);
    PermitGrant grant;
    const int available = int(std::floor(std::max(bucket.permits, 0.0) + Epsilon));
    grant.count = std::clamp(std::min(wanted, available), 0, MaxPermitsPerGrant);
    bucket.permits -= grant.count;
    if (grant.count > 0)
        return grant;
    if (part.perSecond <= 0) {
        grant.askAgainIn = capped(MaxAskDelay, MaxAskDelay, randomFraction);
        return grant;
    }
    const double missing = std::max(0.0, 1 - bucket.permits);
    const MonotonicTime filledAt =
        std::max(bucket.refilledAt, now) + toMilliseconds(missing / part.perSecond);
    const MonotonicTime due = std::max(bucket.nextDue, filledAt);
    const auto delay = std::chrono::ceil<Milliseconds>(due - now);
    grant.askAgainIn = std::max(capped(delay, MaxAskDelay, randomFraction), MinAskDelay);
    // The next daemon that is refused gets its permit after this one.
    bucket.nextDue = std::min(due + toMilliseconds(1 / part.perSecond), now + MaxAskDelay);
    return grant;
}

bool hasPermit(const PermitStock &stock, MonotonicTime now)
{
    return stock.permits > 0 && now < stock.validUntil;
}

void spendPermit(PermitStock &stock, MonotonicTime now)
{
    ++stock.wanted;
    if (hasPermit(stock, now))
        --stock.permits;
    else
        ++stock.unreported;
}

bool shouldAsk(const PermitStock &stock, MonotonicTime now)
{
    if (hasPermit(stock, now) || now < stock.nextAsk)
        return false;
    return !stock.isAsking || now >= stock.askedAt + AskTimeout;
}

void beginAsk(PermitStock &stock, MonotonicTime now)
{
    ++stock.askNumber;
    stock.isAsking = true;
    stock.askedAt = now;
    stock.reported = stock.unreported;
    stock.wanted = 0;
}

bool applyGrant(PermitStock &stock, int askNumber, const PermitGrant &grant, MonotonicTime now)
{
    if (!stock.isAsking || askNumber != stock.askNumber)
        return false;
    stock.isAsking = false;
    stock.unreported -= std::exchange(stock.reported, 0);
    if (grant.count > 0) {
        stock.permits = grant.count;
        stock.validUntil = stock.askedAt + PermitLifetime;
        return true;
    }
    stock.nextAsk = now + grant.askAgainIn;
    stock.interval = grant.askAgainIn;
    return true;
}

Milliseconds untilPermit(const PermitStock &stock, MonotonicTime now)
{
    if (hasPermit(stock, now) || now >= stock.nextAsk)
        return Milliseconds(0);
    return std::chrono::ceil<Milliseconds>(stock.nextAsk - now);
}

Milliseconds retryDelay(MonotonicTime &nextRetry, Milliseconds untilNext, Milliseconds interval,
                        MonotonicTime now, double randomFraction)
{
    const MonotonicTime retry = std::max(nextRetry, now + untilNext);
    nextRetry = std::min(retry + interval, now + MaxRetryDelay);
    return capped(std::chrono::ceil<Milliseconds>(retry - now), MaxRetryDelay, randomFraction);
}

} // namespace cranberry
