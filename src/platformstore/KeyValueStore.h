// Defines KeyValueStore, the interface to the platform's key-value service.
#pragma once

#include "base/Result.h"
#include "base/Units.h"
#include "platformstore/KeyValue.h"

#include <functional>
#include <optional>

namespace cranberry {

/// The platform's service: compare-and-swap, leases, watches, the VM list. Each call, and a
/// waiting watch, counts against the platform's rates, so callers batch and never poll by
/// daemon and time.
/// Every operation calls back exactly once, later, in the same thread, unless the store is
/// destroyed before. Failed reads carry ErrorKind::PlatformUnavailable.
/// Thread safety: only from its own thread.
class KeyValueStore
{
public:
    using ReadCallback = std::function<void(Result<KeyValue>)>;
    using ListCallback = std::function<void(Result<QList<KeyValue>>)>;
    using SwapCallback = std::function<void(SwapResult)>;
    using LeaseCallback = std::function<void(Result<LeaseId>)>;
    using VmsCallback = std::function<void(Result<QList<ListedVm>>)>;

    virtual ~KeyValueStore() = default;

    /// Reads one key; an absent one has revision 0.
    virtual void read(const QString &key, ReadCallback callback) = 0;

    /// Reads all keys that start with @p prefix, in key order.
    virtual void list(const QString &prefix, ListCallback callback) = 0;

    /// Writes @p value if @p key has revision @p expected (0: if it is absent). With @p lease
    /// the key vanishes when the lease ends.
    virtual void compareAndSwap(const QString &key, Revision expected, const QByteArray &value,
                                std::optional<LeaseId> lease, SwapCallback callback) = 0;

    /// Removes @p key if it has revision @p expected.
    virtual void remove(const QString &key, Revision expected, SwapCallback callback) = 0;

    /// Waits until a key under @p prefix has a revision over @p after, then hands over all such
    /// keys; an empty list when @p timeout passes without one.
    virtual void watch(const QString &prefix, Revision after, Milliseconds timeout,
                       ListCallback callback) = 0;

    virtual void grantLease(Milliseconds duration, LeaseCallback callback) = 0;
    /// Error OutcomeUnknown: the lease has lapsed. Error PlatformUnavailable: no answer.
    virtual void renewLease(LeaseId lease, LeaseCallback callback) = 0;

    /// The platform's list of VMs of the system; it lags.
    virtual void listVms(VmsCallback callback) = 0;
};

} // namespace cranberry
