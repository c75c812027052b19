#include "relay/TargetEntries.h"

#include "base/EventLog.h"
#include "relay/RelayCounters.h"
#include "relay/StoreProtocol.h"
#include "relay/TargetDirectory.h"

namespace cranberry {

TargetEntries::TargetEntries(const StoreProtocol &protocol, TargetDirectory &targets,
                             RelayCounters &counters)
    : m_protocol(protocol)
    , m_targets(targets)
    , m_counters(counters)
{
}

void TargetEntries::put(const QString &key, const QByteArray &value)
{
    const Result<RelayTarget> entry = m_protocol.readTarget(key, value);
    if (entry)
        apply(key, entry.value());
    else
        handleUnreadable(key, entry.error().detail);
}

void TargetEntries::apply(const QString &key, const RelayTarget &entry)
{
    const auto known = m_starts.constFind(key);
    const bool isSame = known != m_starts.cend() && known->target == entry.id;
    if (known != m_starts.cend() && !isSame) {
        if (entry.incarnation < known->incarnation) {
            // The former start wrote this entry before it ended; it does not apply to the new one.
            logEvent(LogLevel::Info, EventId::TargetEntryLate,
                     {{"key", key}, {"known", known->target.text()}, {"came", entry.id.text()}});
            return;
        }
        m_targets.handleRestart(known->target);
    }
    m_starts.insert(key, {entry.id, entry.incarnation});
    m_targets.put(entry);
}

void TargetEntries::handleUnreadable(const QString &key, const QString &detail)
{
    ++m_counters.unreadableEntries;
    logEvent(LogLevel::Warning, EventId::TargetUnreadable,
             {{"key", key}, {"known", m_starts.value(key).target.text()}, {"detail", detail}});
    // Another writer overwrote the entry, which says nothing about the target itself: it takes no
    // new work until its next entry, and what runs there continues.
    m_targets.withhold(m_starts.value(key).target);
}

void TargetEntries::remove(const QString &key)
{
    const auto known = m_starts.constFind(key);
    if (known == m_starts.cend())
        return;
    m_targets.remove(known->target);
    m_starts.erase(known);
}

} // namespace cranberry
