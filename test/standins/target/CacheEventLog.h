// Defines CacheEventLog, the late and gappy cache events of the stand-in engine.
#pragma once

#include "base/TimerService.h"

#include <QJsonArray>
#include <QJsonObject>
#include <QList>

namespace cranberry::test {

struct CacheChange;

/// Numbers the changes of the cache; every seventh is lost, the rest are shown late.
/// Thread safety: only from one thread.
class CacheEventLog
{
public:
    void add(MonotonicTime now, const CacheChange &change);

    /// The events with a number over @p after that are at least @p lag old.
    QJsonArray after(qint64 sequence, MonotonicTime now, Milliseconds lag) const;

private:
    struct Event {
        MonotonicTime time;
        QJsonObject event;
    };

    QList<Event> m_events;
    qint64 m_sequence = 0;
};

} // namespace cranberry::test
