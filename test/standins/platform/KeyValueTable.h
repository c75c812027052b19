// Defines KeyValueTable, the state of a small key-value service with compare-and-swap.
#pragma once

#include "platformstore/KeyValue.h"

#include <QMap>

#include <optional>

namespace cranberry::standin {

/// Keys with values and revisions. Every effective write takes the next revision.
/// Thread safety: a value type; distinct objects may be used from distinct threads.
class KeyValueTable
{
public:
    struct Entry {
        QByteArray value;
        Revision revision;
        std::optional<LeaseId> lease;
    };

    /// The entry of @p key, revision 0 if it is absent.
    KeyValue read(const QString &key) const
    {
        const auto found = m_entries.constFind(key);
        if (found == m_entries.constEnd())
            return {key, {}, Revision(0)};
        return {key, found->value, found->revision};
    }

    /// All entries under @p prefix with a revision over @p after, in key order.
    QList<KeyValue> list(const QString &prefix, Revision after = Revision(0)) const
    {
        QList<KeyValue> result;
        for (auto entry = m_entries.lowerBound(prefix);
             entry != m_entries.constEnd() && entry.key().startsWith(prefix); ++entry) {
            if (entry->revision > after)
                result.append({entry.key(), entry->value, entry->revision});
        }
        return result;
    }

    /// Writes @p value if @p key has revision @p expected.
    SwapResult compareAndSwap(const QString &key, Revision expected, const QByteArray &value,
                              std::optional<LeaseId> lease)
    {
        const Revision present = read(key).revision;
        if (present != expected)
            return {SwapOutcome::Conflict, present};
        m_last += Revision(1);
        m_entries.insert(key, {value, m_last, lease});
        return {SwapOutcome::Swapped, m_last};
    }

    /// Removes @p key if it has revision @p expected.
    SwapResult remove(const QString &key, Revision expected)
    {
        const Revision present = read(key).revision;
        if (present != expected || present == Revision(0))
            return {SwapOutcome::Conflict, present};
        m_last += Revision(1);
        m_entries.remove(key);
        return {SwapOutcome::Swapped, m_last};
    }

    /// Removes all keys that are bound to @p lease.
    void endLease(LeaseId lease)
    {
        for (auto entry = m_entries.begin(); entry != m_entries.end();) {
            if (entry->lease == lease)
                entry = m_entries.erase(entry);
            else
                ++entry;
        }
    }

private:
    QMap<QString, Entry> m_entries;
    Revision m_last;
};

} // namespace cranberry::standin
