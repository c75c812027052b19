#pragma once

#include "base/Result.h"
#include "base/Units.h"
#include "platformstore/KeyValue.h"

#include <functional>
#include <optional>

namespace cranberry {

/// Interface to the platform's key-value service: compare-and-swap, leases, watches and the list of
/// VMs. Each call and each waiting watch counts against the rate limits of the platform, so callers
/// batch their calls, and the daemons must not each poll periodically.
/// Every operation calls its callback exactly once, asynchronously in the same thread, unless the
/// store is destroyed first. Failed reads return ErrorKind::PlatformUnavailable.
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

    /// Reads one key; an absent key has revision 0.
    virtual void read(const QString &key, ReadCallback callback) = 0;

    /// Reads all keys that start with @p prefix, in key order.
    virtual void list(const QString &prefix, ListCallback callback) = 0;

    /// Writes @p value if @p key has revision @p expected, where 0 means that it is absent. With
    /// @p lease the key is removed when the lease ends.
    virtual void compareAndSwap(const QString &key, Revision expected, const QByteArray &value,
                                std::optional<LeaseId> lease, SwapCallback callback) = 0;

    /// Removes @p key if it has revision @p expected.
    virtual void remove(const QString &key, Revision expected, SwapCallback callback) = 0;

    /// Waits until a key that starts with @p prefix has a revision greater than @p after, then
    /// returns all such keys. Returns an empty list if there is none within @p timeout.
    virtual void watch(const QString &prefix, Revision after, Milliseconds timeout,
                       ListCallback callback) = 0;

    /// Creates a lease that expires @p duration after it was granted or last renewed.
    virtual void grantLease(Milliseconds duration, LeaseCallback callback) = 0;
    /// Renews @p lease. Error OutcomeUnknown: the lease has expired. Error PlatformUnavailable: the
    /// service did not answer.
    virtual void renewLease(LeaseId lease, LeaseCallback callback) = 0;

    /// Reads the platform's list of the VMs of the system, which lags behind the actual state.
    virtual void listVms(VmsCallback callback) = 0;
};

} // namespace cranberry
