// Defines StoreCalls, the calls of a key-value store for tests that wait for each answer.
#pragma once

#include "platformstore/KeyValueStore.h"

namespace cranberry::test {

/// Each method starts the call of the same name and runs the event loop until its answer.
/// Thread safety: only from the thread of the store.
class StoreCalls
{
public:
    /// Precondition: @p store outlives this.
    explicit StoreCalls(KeyValueStore &store)
        : m_store(store)
    {
    }

    Result<KeyValue> read(const QString &key);
    Result<QList<KeyValue>> list(const QString &prefix);
    SwapResult swap(const QString &key, Revision expected, const QByteArray &value,
                    std::optional<LeaseId> lease = std::nullopt);
    SwapResult remove(const QString &key, Revision expected);
    Result<LeaseId> grantLease(Milliseconds duration);
    Result<LeaseId> renewLease(LeaseId lease);
    Result<QList<ListedVm>> listVms();

private:
    KeyValueStore &m_store;
};

} // namespace cranberry::test
