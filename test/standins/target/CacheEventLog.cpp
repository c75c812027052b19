#include "standins/target/CacheEventLog.h"

#include "standins/target/EngineModel.h"

namespace cranberry::test {

namespace {

constexpr int GapInterval = 7;

} // namespace

void CacheEventLog::add(MonotonicTime now, const CacheChange &change)
{
    ++m_sequence;
    if (m_sequence % GapInterval == 0)
        return;
    const qsizetype slash = change.prefixKey.indexOf('/');
    m_events.append({now,
                     {{QStringLiteral("sequence"), m_sequence},
                      {QStringLiteral("prefix"), QString::fromUtf8(change.prefixKey.left(slash))},
                      {QStringLiteral("salt"), QString::fromUtf8(change.prefixKey.mid(slash + 1))},
                      {QStringLiteral("stored"), change.stored}}});
}

QJsonArray CacheEventLog::after(qint64 sequence, MonotonicTime now, Milliseconds lag) const
{
    QJsonArray events;
    for (const Event &event : m_events) {
        if (event.time <= now - lag
            && event.event[QLatin1String("sequence")].toInteger() > sequence) {
            events.append(event.event);
        }
    }
    return events;
}

} // namespace cranberry::test
