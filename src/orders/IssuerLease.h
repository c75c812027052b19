#pragma once

#include "base/Ids.h"
#include "configuration/CallbackGuard.h"
#include "orders/LeaseTiming.h"
#include "platformstore/KeyValueStore.h"

#include <functional>
#include <memory>
#include <optional>

namespace cranberry {

class TimerService;
class TimerSubscription;

/// Elects the one daemon that issues the orders of a service. Holds a key in the platform's
/// key-value service that exists as long as a lease. The key's revision is the fencing number:
/// revisions only increase, and each holder creates the key anew.
/// A daemon that does not hold the key retries once per lease duration, so only the few daemons
/// that rendezvous hashing selects for a service should run an instance.
/// Thread safety: only from the thread of the event loop.
class IssuerLease
{
public:
    /// Precondition: @p platform and @p timers outlive this.
    IssuerLease(KeyValueStore &platform, TimerService &timers, const ServiceId &service,
                const LeaseTimes &times);
    ~IssuerLease();
    IssuerLease(const IssuerLease &) = delete;
    IssuerLease &operator=(const IssuerLease &) = delete;

    /// Starts to acquire the lease and keeps it renewed. Precondition: called once.
    void start();

    /// The fencing number for an order that is sent now; empty if this daemon must not send one.
    /// Must be called immediately before each send.
    std::optional<FencingNumber> fencingNumber() const;

private:
    struct HeldLease {
        LeaseId lease;
        FencingNumber number;
        /// Read before the request for the lease, or for its last renewal, was sent.
        MonotonicTime requestedAt;
        MonotonicTime mayIssueFrom;
    };

    void acquire();
    void createKey(LeaseId lease, MonotonicTime requestedAt);
    void handleCreateResult(LeaseId lease, MonotonicTime requestedAt, const SwapResult &result);
    void resolveUnknownSwap(LeaseId lease, MonotonicTime requestedAt);
    void becomeIssuer(LeaseId lease, MonotonicTime requestedAt, Revision revision);
    void renew();
    void handleRenewResult(MonotonicTime requestedAt, const Result<LeaseId> &result);
    void handleLeaseLost();
    void scheduleNext(Milliseconds delay, void (IssuerLease::*action)());

    KeyValueStore &m_platform;
    TimerService &m_timers;
    const ServiceId m_service;
    const LeaseTimes m_times;
    std::optional<HeldLease> m_heldLease;
    std::unique_ptr<TimerSubscription> m_nextAction;
    internal::CallbackGuard m_life;
};

} // namespace cranberry
