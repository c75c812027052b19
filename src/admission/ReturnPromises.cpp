#include "admission/ReturnPromises.h"

#include <algorithm>

namespace cranberry {

namespace {

constexpr Milliseconds MinReturnDelay{100};
constexpr Milliseconds MaxReturnDelay{12000};
/// Callers that return together compete again; this part of the delay is added at random.
constexpr double SpreadFraction = 0.2;
/// A caller's remaining time is rounded and may include the time on the way.
constexpr Milliseconds CallerTimeTolerance{50};
constexpr double MillisecondsPerSecond = 1000;

bool isExpired(const ReturnPromise &promise, MonotonicTime now)
{
    return now > promise.due + ReturnWindow;
}

void removeAt(ReturnPromises &promises, quint64 fingerprint, qsizetype index)
{
    QList<ReturnPromise> &list = promises.entries[fingerprint];
    list.removeAt(index);
    --promises.count;
    if (list.isEmpty())
        promises.entries.remove(fingerprint);
}

void removeEarliest(ReturnPromises &promises)
{
    quint64 fingerprint = 0;
    qsizetype index = -1;
    MonotonicTime earliest = MonotonicTime::max();
    for (auto entry = promises.entries.cbegin(); entry != promises.entries.cend(); ++entry) {
        for (qsizetype i = 0; i < entry->size(); ++i) {
            if (entry->at(i).due >= earliest)
                continue;
            earliest = entry->at(i).due;
            fingerprint = entry.key();
            index = i;
        }
    }
    if (index >= 0)
        removeAt(promises, fingerprint, index);
}

} // namespace

void addPromise(ReturnPromises &promises, const ReturnPromise &promise, MonotonicTime now)
{
    if (promises.count >= MaxReturnPromises)
        dropExpired(promises, now);
    if (promises.count >= MaxReturnPromises)
        removeEarliest(promises);
    promises.entries[promise.fingerprint].append(promise);
    ++promises.count;
}

ReturnKind takePromise(ReturnPromises &promises, quint64 fingerprint, Milliseconds callerTime,
                       MonotonicTime now)
{
    const auto entry = promises.entries.constFind(fingerprint);
    if (entry == promises.entries.cend())
        return ReturnKind::New;
    bool isEarly = false;
    for (qsizetype i = 0; i < entry->size(); ++i) {
        const ReturnPromise promise = entry->at(i);
        if (isExpired(promise, now) || callerTime > promise.callerTime + CallerTimeTolerance)
            continue;
        if (now + ReturnTolerance < promise.due) {
            isEarly = true;
            continue;
        }
        removeAt(promises, fingerprint, i);
        return promise.isFirm ? ReturnKind::AsTold : ReturnKind::New;
    }
    return isEarly ? ReturnKind::Early : ReturnKind::New;
}

Milliseconds untilDue(const ReturnPromises &promises, quint64 fingerprint, MonotonicTime now)
{
    MonotonicTime earliest = MonotonicTime::max();
    for (const ReturnPromise &promise : promises.entries.value(fingerprint)) {
        if (promise.due > now)
            earliest = std::min(earliest, promise.due);
    }
    return earliest == MonotonicTime::max() ? Milliseconds(0)
                                            : std::chrono::ceil<Milliseconds>(earliest - now);
}

double promisedWork(const ReturnPromises &promises, int level, MonotonicTime now,
                    MonotonicTime until)
{
    double work = 0;
    for (const QList<ReturnPromise> &list : promises.entries) {
        for (const ReturnPromise &promise : list) {
            const bool isCounted = promise.isFirm && promise.level <= level && promise.due >= now
                && promise.due <= until;
            work += isCounted ? promise.roomSeconds : 0;
        }
    }
    return work;
}

void dropExpired(ReturnPromises &promises, MonotonicTime now)
{
    promises.count = 0;
    for (QList<ReturnPromise> &list : promises.entries) {
        list.removeIf([&](const ReturnPromise &promise) { return isExpired(promise, now); });
        promises.count += int(list.size());
    }
    promises.entries.removeIf([](const auto &entry) { return entry.value().isEmpty(); });
}

Milliseconds returnDelay(double roomSeconds, double placedPerSecond, double random)
{
    if (placedPerSecond <= 0)
        return MaxReturnDelay;
    const double seconds = roomSeconds / placedPerSecond * (1 + SpreadFraction * random);
    const double longest = double(MaxReturnDelay.count()) / MillisecondsPerSecond;
    const Milliseconds delay(qint64(std::min(seconds, longest) * MillisecondsPerSecond));
    return std::max(delay, MinReturnDelay);
}

bool isKept(Milliseconds delay, Milliseconds callerTime)
{
    return 3 * delay <= callerTime;
}

} // namespace cranberry
