#pragma once

#include "base/Units.h"

namespace cranberry {

/// How daemons together keep the rate limit of a target. One daemon, the owner of the target, hands
/// out permits; a daemon asks for one when it has a request for the target, and uses it within
/// PermitLifetime or not at all. A daemon without a permit sends nothing, so that the limit holds
/// while messages are lost or late. An owner that reaches only some of the daemons hands out their
/// part of the limit: the two sides of a partition, each with an owner, together keep it.

/// How long a permit may be used, counted from the time at which it was asked for.
constexpr Milliseconds PermitLifetime{1000};
/// Maximum number of permits in one grant.
constexpr int MaxPermitsPerGrant = 16;
/// Maximum time for which an owner tells a daemon not to ask again.
constexpr Milliseconds MaxAskDelay{5000};

/// The part of a limit that one owner hands out.
struct LimitPart {
    double perSecond = 0;
    /// Maximum number of permits that are kept while no daemon asks; at least one.
    double maxSaved = 1;
};

/// The permits that the owner of a target may hand out.
struct PermitBucket {
    /// Negative if daemons reported requests that they sent without a permit.
    double permits = 0;
    MonotonicTime refilledAt;
    /// When the next daemon that is refused may expect a permit.
    MonotonicTime nextDue;
};

/// The answer to a daemon that asked for permits.
struct PermitGrant {
    int count = 0;
    /// Asking earlier is useless; zero if permits were granted.
    Milliseconds askAgainIn{0};
};

/// The permits of one daemon for a target.
struct PermitStock {
    int permits = 0;
    MonotonicTime validUntil;
    /// Requests sent without a permit that the owner does not know of.
    int unreported = 0;
    /// The number of them that the last ask reports.
    int reported = 0;
    /// The last ask; a grant that answers an earlier one is ignored.
    int askNumber = 0;
    bool isAsking = false;
    MonotonicTime askedAt;
    /// Requests for the target since the last ask.
    int wanted = 0;
    /// The owner has no permit for this daemon before this time.
    MonotonicTime nextAsk;
    /// The delay that the owner gave last: about the time between two permits of this daemon.
    Milliseconds interval{0};
    /// When the next caller that is rejected for lack of a permit should retry.
    MonotonicTime nextRetry;
};

/// Returns the part of a limit of @p perSecond that an owner hands out if it reaches @p reachable
/// of @p daemons daemons, both including itself; none if either is not positive. A limit of zero or
/// close to it still lets one request through each 5 s, as only an answer shows its end.
/// Thread-safe.
LimitPart limitPart(double perSecond, int reachable, int daemons);

/// Returns a bucket that has nothing to hand out until all permits of an earlier owner have
/// expired. Thread-safe.
PermitBucket openBucket(MonotonicTime now);

/// Grants up to @p wanted permits from @p part, after accounting for @p unreported requests.
/// @p randomFraction, from 0 to 1, spreads daemons that must wait long.
/// Precondition: @p part is finite and not negative. Thread-safe.
PermitGrant grantPermits(PermitBucket &bucket, const LimitPart &part, int wanted, int unreported,
                         MonotonicTime now, double randomFraction);

/// Whether @p stock has a permit that is valid at @p now. Thread-safe.
bool hasPermit(const PermitStock &stock, MonotonicTime now);

/// Records a request that is sent, with a permit or without. Thread-safe.
void spendPermit(PermitStock &stock, MonotonicTime now);

/// Whether a daemon with a request for the target should ask the owner now. Thread-safe.
bool shouldAsk(const PermitStock &stock, MonotonicTime now);

/// Records that the owner is asked. Thread-safe.
void beginAsk(PermitStock &stock, MonotonicTime now);

/// Records the answer to ask @p askNumber. Returns false if that is not the last ask. Thread-safe.
bool applyGrant(PermitStock &stock, int askNumber, const PermitGrant &grant, MonotonicTime now);

/// The time until a permit may be there; zero if one is, or if the owner is being asked.
/// Thread-safe.
Milliseconds untilPermit(const PermitStock &stock, MonotonicTime now);

/// Returns the delay after which a rejected caller should retry if the next permit comes after
/// @p untilNext and one more each @p interval. Callers before it were told to retry until
/// @p nextRetry, which is moved on. Thread-safe.
Milliseconds retryDelay(MonotonicTime &nextRetry, Milliseconds untilNext, Milliseconds interval,
                        MonotonicTime now, double randomFraction);

} // namespace cranberry
