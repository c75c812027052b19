// Defines IssuerLease, by which one daemon at a time issues the orders of a service.
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

/// Holds a key in the platform's service that lives as long as a lease. Its revision is the
/// fencing number: revisions only grow, and each holder creates the key anew.
/// A daemon that does not hold it tries again once a lease, so only the few daemons that
/// rendezvous hashing names for a service should run one.
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

    /// Tries to become the issuer and to stay it. Precondition: called once.
    void start();

    /// The number for an order that is sent now; empty if this daemon must not send any. To be
    /// asked right before each send.
    std::optional<FencingNumber> fencingNumber() const;

private:
    struct Holding {
        LeaseId lease;
        FencingNumber number;
        /// Before the request for the lease, or for its last renewal, left.
        MonotonicTime askedAt;
        MonotonicTime issuesFrom;
    };

    void acquire();
    void create(LeaseId lease, MonotonicTime askedAt);
    void created(LeaseId lease, MonotonicTime askedAt, const SwapResult &result);
    void settle(LeaseId lease, MonotonicTime askedAt);
    void hold(LeaseId lease, MonotonicTime askedAt, Revision revision);
    void renew();
    void renewed(MonotonicTime askedAt, const Result<LeaseId> &result);
    void lose();
    void again(Milliseconds delay, void (IssuerLease::*action)());

    KeyValueStore &m_platform;
    TimerService &m_timers;
    const ServiceId m_service;
    const LeaseTimes m_times;
    std::optional<Holding> m_holding;
    std::unique_ptr<TimerSubscription> m_next;
    internal::CallbackGuard m_life;
};

} // namespace cranberry
