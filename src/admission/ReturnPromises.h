#pragma once

#include "admission/Urgency.h"

#include <QHash>
#include <QList>

namespace cranberry {

/// The time at which a rejected caller was told to retry.
struct ReturnPromise {
    /// Identifies the request across its retries; see requestFingerprint().
    quint64 fingerprint = 0;
    MonotonicTime due;
    /// Time that the caller waited from its arrival; a retry never has more.
    Milliseconds callerTime{0};
    /// See Urgency.
    int level = 0;
    /// See Work.
    double roomSeconds = 0;
    /// Room is kept for the caller; else its time is an estimate, and is known to tell an early
    /// retry from a new request.
    bool isFirm = false;
};

/// Promises that were made to callers by this daemon and others.
struct ReturnPromises {
    QHash<quint64, QList<ReturnPromise>> entries;
    int count = 0;
};

constexpr int MaxReturnPromises = 4096;
/// A caller may come this much before its time.
constexpr Milliseconds ReturnTolerance{50};
/// A promise is dropped this long after its time.
constexpr Milliseconds ReturnWindow{3000};

/// Keeps @p promise. Drops the promise that expires first if there are too many. Thread safety:
/// none.
void addPromise(ReturnPromises &promises, const ReturnPromise &promise, MonotonicTime now);

/// What a request that arrives at @p now is, by the promises under its fingerprint; a firm
/// promise that is due makes it AsTold. A promise that is due is used up. A request whose caller
/// has more time left than the promise names is another request with the same content: New. Thread
/// safety: none.
ReturnKind takePromise(ReturnPromises &promises, quint64 fingerprint, Milliseconds callerTime,
                       MonotonicTime now);

/// The time until the promise under @p fingerprint is due; zero if there is none. Thread-safe.
Milliseconds untilDue(const ReturnPromises &promises, quint64 fingerprint, MonotonicTime now);

/// The room seconds of all firm promises of @p level and more urgent ones that are due between @p
/// now and
/// @p until. Thread-safe.
double promisedWork(const ReturnPromises &promises, int level, MonotonicTime now,
                    MonotonicTime until);

/// Drops expired promises. Thread safety: none.
void dropExpired(ReturnPromises &promises, MonotonicTime now);

/// When a rejected caller should retry: after @p roomSeconds, its own and what goes before it, are
/// placed at @p placedPerSecond, spread by @p random (0 to 1); at least 100 ms, at most 12 s.
/// Thread-safe.
Milliseconds returnDelay(double roomSeconds, double placedPerSecond, double random);

/// Whether a caller with @p callerTime left waits for @p delay: callers wait for at most a third of
/// the time that they have left. Thread-safe.
bool isKept(Milliseconds delay, Milliseconds callerTime);

} // namespace cranberry
