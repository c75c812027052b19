#include "relay/TargetSpeeds.h"

#include "base/TimerService.h"
#include "relay/TargetDirectory.h"

#include <QCborArray>
#include <QCborValue>

#include <algorithm>

namespace cranberry {

namespace {

/// With about 50 bytes each they stay within one datagram beside the loads.
constexpr qsizetype MaxRows = 10;
constexpr qsizetype MaxReceivedRows = 30;
/// Observations of other daemons are used for this time, own ones as long.
constexpr Milliseconds ObservationLifetime{15000};
/// Shorter or longer times are not of a target that works.
constexpr double MinObserved = 0.001;
constexpr double MaxObserved = 1e6;
constexpr double MicrosecondsPerMillisecond = 1000;

QCborArray encoded(const ObservedMean &mean)
{
    return {qint64(mean.value * MicrosecondsPerMillisecond), qint64(mean.samples)};
}

/// Empty if the value is out of range.
ObservedMean decoded(const QCborArray &row)
{
    const double value = double(row.at(0).toInteger(0)) / MicrosecondsPerMillisecond;
    const qint64 samples = row.at(1).toInteger(0);
    if (samples <= 0 || value < MinObserved || value > MaxObserved)
        return {};
    return {value, double(std::min<qint64>(samples, 16))};
}

} // namespace

TargetSpeeds::TargetSpeeds(TimerService &timers, TargetDirectory &targets)
    : m_timers(timers)
    , m_targets(targets)
{
}

template <typename Change>
void TargetSpeeds::change(const TargetId &target, Change change)
{
    if (!m_targets.find(target))
        return;
    Entry &entry = m_entries[target];
    const MonotonicTime now = m_timers.now();
    entry.own = ageOf(entry.observedAt) > ObservationLifetime
        ? TargetSpeed()
        : aged(entry.own, ageOf(entry.observedAt));
    change(entry.own);
    entry.observedAt = now;
    entry.newestAt = now;
    if (!m_unreported.contains(target))
        m_unreported.append(target);
    publish(target, entry);
}

Milliseconds TargetSpeeds::ageOf(MonotonicTime observedAt) const
{
    return std::chrono::ceil<Milliseconds>(m_timers.now() - observedAt);
}

void TargetSpeeds::publish(const TargetId &target, Entry &entry)
{
    entry.peers.removeIf(
        [this](const auto &peer) { return ageOf(peer.value().at) > ObservationLifetime; });
    const Milliseconds ownAge = ageOf(entry.observedAt);
    TargetSpeed all = ownAge <= ObservationLifetime ? aged(entry.own, ownAge) : TargetSpeed();
    for (const Reported &reported : std::as_const(entry.peers))
        all = merged(all, aged(reported.speed, ageOf(reported.at)));
    m_targets.setSpeed(target, all);
}

void TargetSpeeds::recordService(const TargetId &target, Milliseconds time, int running)
{
    const TargetRecord *record = m_targets.find(target);
    if (!record)
        return;
    const double taken = std::max(double(time.count()), 0.5);
    const double service = serviceTime(taken, running, record->entry.slots);
    change(target, [&](TargetSpeed &speed) { observe(speed.service, service); });
}

void TargetSpeeds::recordReading(const TargetId &target, Tokens tokens, Milliseconds time)
{
    if (tokens.value() <= 0 || time.count() <= 0)
        return;
    change(target, [&](TargetSpeed &speed) {
        observe(speed.reading, double(tokens.value()) / double(time.count()));
    });
}

void TargetSpeeds::recordPace(const TargetId &target, Tokens tokens, Milliseconds time)
{
    if (tokens.value() <= 0 || time.count() <= 0)
        return;
    change(target, [&](TargetSpeed &speed) {
        observe(speed.pace, double(time.count()) / double(tokens.value()));
    });
}

void TargetSpeeds::forgetExpired()
{
    m_entries.removeIf([this](const auto &entry) {
        if (!m_targets.find(entry.key()))
            return true;
        const bool isExpired = ageOf(entry.value().newestAt) > ObservationLifetime;
        // A target that was slow gets no requests, and so no observations, until it counts as
        // unknown.
        if (isExpired)
            m_targets.setSpeed(entry.key(), {});
        return isExpired;
    });
}

QCborArray TargetSpeeds::report()
{
    forgetExpired();
    QCborArray rows;
    while (!m_unreported.isEmpty() && rows.size() < MaxRows) {
        const TargetId target = m_unreported.takeFirst();
        const auto entry = m_entries.constFind(target);
        // A target that waited long for its turn has no observations any longer.
        const bool isRecent =
            entry != m_entries.cend() && ageOf(entry->observedAt) <= ObservationLifetime;
        if (isRecent)
            rows.append(QCborArray{target.text(), encoded(entry->own.service),
                                   encoded(entry->own.reading), encoded(entry->own.pace)});
    }
    return rows;
}

void TargetSpeeds::receive(const VmId &peer, const QCborArray &rows)
{
    if (rows.size() > MaxReceivedRows)
        return;
    for (const QCborValue value : rows) {
        const QCborArray row = value.toArray();
        const TargetId target(row.at(0).toString());
        const TargetSpeed speed{decoded(row.at(1).toArray()), decoded(row.at(2).toArray()),
                                decoded(row.at(3).toArray())};
        const double samples = speed.service.samples + speed.reading.samples + speed.pace.samples;
        if (samples <= 0 || !m_targets.find(target))
            continue;
        Entry &entry = m_entries[target];
        entry.newestAt = m_timers.now();
        entry.peers.insert(peer, {speed, entry.newestAt});
        publish(target, entry);
    }
}

} // namespace cranberry
