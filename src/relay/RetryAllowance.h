#pragma once

#include "base/Units.h"

#include <QList>

#include <optional>

namespace cranberry {

struct RetryLimits;

/// How daemons together keep the limits for retries of a service without knowing what the others
/// retry. The limit is a fraction of the requests, the ratio, and a fixed number, the slack, in any
/// window. A daemon spends units that no other daemon can spend:
/// - Its requests earn units, a fraction of the ratio each. A unit expires after a third of the
///   window, so that retries of a window are paid by requests of about that window.
/// - Each daemon has an equal part of the slack, its share, of which it uses a unit once in a
///   window. Units that cannot be divided belong to the first daemons in the common order.
/// - A daemon that continues generations borrows units of others, which give up what they lend.
/// A daemon that has just started does not know what it used before, and waits a window for its
/// share. Messages that are lost, late or doubled lose units and never create any.

/// What pays for a retry.
enum class RetrySource {
    Earned,
    Share,
    Borrowed,
};

/// The name of @p source in logs. Thread-safe.
const char *retrySourceName(RetrySource source);

/// One retry that may be sent.
struct RetryUnit {
    RetrySource source = RetrySource::Earned;
    /// When it was taken from the share.
    MonotonicTime usedAt;
    /// When an earned or borrowed unit expires.
    MonotonicTime expiry;
};

/// The units of one daemon for a service.
struct RetryAllowance {
    /// The fraction of a unit that is not whole yet, less than one. It starts at random, so that
    /// the units of many daemons are spread over time.
    double earnedFraction = 0;
    /// When the share may be used.
    MonotonicTime shareFrom;
    /// Expiry times.
    QList<MonotonicTime> earned;
    QList<MonotonicTime> borrowed;
    /// When units of the share were used.
    QList<MonotonicTime> used;
};

/// How long a borrowed unit may be used, counted from the time at which it was asked for.
constexpr Milliseconds BorrowedLifetime{1000};

/// How long a unit of the share stays used. Thread-safe.
Milliseconds shareRenewal(const RetryLimits &limits);

/// Returns the units of the slack that one daemon may use once in each window, in a fleet of
/// @p daemons of which @p rank precede it in an order that is the same for all.
/// Precondition: @p daemons is positive. Thread-safe.
int retryShare(const RetryLimits &limits, int rank, int daemons);

/// Records a request of a caller. Thread-safe.
void earnByRequest(RetryAllowance &allowance, const RetryLimits &limits, MonotonicTime now);

/// Removes what has expired. Thread-safe.
void removeExpired(RetryAllowance &allowance, const RetryLimits &limits, MonotonicTime now);

/// Units that can be taken at @p now if the fraction @p reserve of the share is kept, without those
/// borrowed. Precondition: nothing in it has expired. Thread-safe.
int availableUnits(const RetryAllowance &allowance, int share, double reserve, MonotonicTime now);

/// Takes a unit: one that is borrowed, only if @p mayUseBorrowed, else one that is earned, else
/// one of the share, of which the fraction @p reserve is kept. Unset if there is none.
/// Precondition: nothing in it has expired. Thread-safe.
std::optional<RetryUnit> takeUnit(RetryAllowance &allowance, int share, double reserve,
                                  bool mayUseBorrowed, MonotonicTime now);

/// Records that the retry of @p unit is sent at @p now. Returns false if the unit has expired in
/// the meantime. Precondition: nothing in it has expired. Thread-safe.
bool spendUnit(RetryAllowance &allowance, const RetryUnit &unit, MonotonicTime now);

/// Returns a unit whose retry was not sent. Thread-safe.
void returnUnit(RetryAllowance &allowance, const RetryUnit &unit, MonotonicTime now);

/// Gives up to @p wanted units to another daemon; returns their number. Precondition:
/// nothing in it has expired. Thread-safe.
int lendUnits(RetryAllowance &allowance, int share, int wanted, MonotonicTime now);

/// Adds @p count units of another daemon that was asked at @p askedAt. Thread-safe.
void addBorrowed(RetryAllowance &allowance, int count, MonotonicTime askedAt);

} // namespace cranberry
