#pragma once

#include "admission/TargetSpeed.h"
#include "base/Ids.h"

#include <QHash>
#include <QList>
#include <QSet>

class QCborArray;

namespace cranberry {

class TargetDirectory;
class TimerService;

/// What daemons observe of the speed of targets. Each daemon sees few requests to each target, so
/// that observations are shared: own ones travel with the loads that daemons repeat.
/// Thread safety: only from the thread of the event loop.
class TargetSpeeds
{
public:
    /// Precondition: everything passed outlives the object.
    TargetSpeeds(TimerService &timers, TargetDirectory &targets);

    /// Records that a plain request took @p time at @p target, where @p running requests were.
    void recordService(const TargetId &target, Milliseconds time, int running);
    /// Records that an engine read @p tokens before the first event, which took @p time.
    void recordReading(const TargetId &target, Tokens tokens, Milliseconds time);
    /// Records that an engine generated @p tokens in @p time.
    void recordPace(const TargetId &target, Tokens tokens, Milliseconds time);

    /// Rows for other daemons: targets observed since the last call, in turn if they are many.
    /// Targets of which nobody reported anything for 15 s become unknown.
    QCborArray report();
    /// Takes the rows that @p peer sent.
    void receive(const VmId &peer, const QCborArray &rows);

private:
    struct Reported {
        TargetSpeed speed;
        MonotonicTime at;
    };
    struct Entry {
        TargetSpeed own;
        MonotonicTime observedAt;
        /// Of the newest observation, own or reported.
        MonotonicTime newestAt;
        QHash<VmId, Reported> peers;
    };

    template <typename Change>
    void change(const TargetId &target, Change change);
    Milliseconds ageOf(MonotonicTime observedAt) const;
    void publish(const TargetId &target, Entry &entry);
    void forgetExpired();

    TimerService &m_timers;
    TargetDirectory &m_targets;
    QHash<TargetId, Entry> m_entries;
    QList<TargetId> m_unreported;
};

} // namespace cranberry
