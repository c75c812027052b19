#include "orders/IssuerLease.h"

#include "base/EventLog.h"
#include "base/TimerService.h"
#include "base/TimerSubscription.h"

namespace cranberry {

namespace {

QString issuerKey(const ServiceId &service)
{
    return QStringLiteral("orders/%1/issuer").arg(service.text());
}

QByteArray holderText(LeaseId lease)
{
    return QByteArray::number(lease.value());
}

} // namespace

IssuerLease::IssuerLease(KeyValueStore &platform, TimerService &timers, const ServiceId &service,
                         const LeaseTimes &times)
    : m_platform(platform)
    , m_timers(timers)
    , m_service(service)
    , m_times(times)
{
}

IssuerLease::~IssuerLease() = default;

void IssuerLease::start()
{
    acquire();
}

std::optional<FencingNumber> IssuerLease::fencingNumber() const
{
    const MonotonicTime now = m_timers.now();
    const bool issues =
        m_holding && now >= m_holding->issuesFrom && mayIssue(m_times, m_holding->askedAt, now);
    if (!issues)
        return std::nullopt;
    return m_holding->number;
}

void IssuerLease::again(Milliseconds delay, void (IssuerLease::*action)())
{
    m_next = m_timers.after(delay, [this, action] { (this->*action)(); });
}

void IssuerLease::acquire()
{
    const MonotonicTime askedAt = m_timers.now();
    m_platform.grantLease(m_times.lease, m_life.wrap([this, askedAt](const Result<LeaseId> &lease) {
        if (lease)
            create(lease.value(), askedAt);
        else
            again(m_times.lease, &IssuerLease::acquire);
    }));
}

void IssuerLease::create(LeaseId lease, MonotonicTime askedAt)
{
    m_platform.compareAndSwap(issuerKey(m_service), Revision(0), holderText(lease), lease,
                              m_life.wrap([this, lease, askedAt](const SwapResult &result) {
                                  created(lease, askedAt, result);
                              }));
}

void IssuerLease::created(LeaseId lease, MonotonicTime askedAt, const SwapResult &result)
{
    if (result.outcome == SwapOutcome::Swapped)
        hold(lease, askedAt, result.revision);
    else if (result.outcome == SwapOutcome::Unknown)
        settle(lease, askedAt);
    else
        again(m_times.lease, &IssuerLease::acquire);
}

// Failure: the key was created and the answer lost; nobody would issue until the lease lapses.
// The key holds the lease that it hangs on. One from an earlier try of this daemon names another
// lease, which nobody renews, and is not taken over.
void IssuerLease::settle(LeaseId lease, MonotonicTime askedAt)
{
    m_platform.read(issuerKey(m_service),
                    m_life.wrap([this, lease, askedAt](const Result<KeyValue> &entry) {
                        if (entry && entry.value().value == holderText(lease))
                            hold(lease, askedAt, entry.value().revision);
                        else
                            again(m_times.lease, &IssuerLease::acquire);
                    }));
}

void IssuerLease::hold(LeaseId lease, MonotonicTime askedAt, Revision revision)
{
    const FencingNumber number(revision.value());
    m_holding = {lease, number, askedAt, m_timers.now() + successorWait(m_times)};
    logEvent(LogLevel::Info, EventId::IssuerGained,
             {{"service", m_service.text()}, {"fencing_number", QString::number(number.value())}});
    again(renewalInterval(m_times), &IssuerLease::renew);
}

void IssuerLease::renew()
{
    const MonotonicTime askedAt = m_timers.now();
    m_platform.renewLease(
        m_holding->lease,
        m_life.wrap([this, askedAt](const Result<LeaseId> &result) { renewed(askedAt, result); }));
}

void IssuerLease::renewed(MonotonicTime askedAt, const Result<LeaseId> &result)
{
    if (result) {
        m_holding->askedAt = askedAt;
        again(renewalInterval(m_times), &IssuerLease::renew);
        return;
    }
    // Without an answer the lease may live on; it is issued under only while it certainly does.
    const bool hasLapsed = result.error().kind == ErrorKind::OutcomeUnknown;
    if (!hasLapsed && mayIssue(m_times, m_holding->askedAt, m_timers.now()))
        again(renewalInterval(m_times), &IssuerLease::renew);
    else
        lose();
}

void IssuerLease::lose()
{
    logEvent(LogLevel::Warning, EventId::IssuerLost,
             {{"service", m_service.text()},
              {"fencing_number", QString::number(m_holding->number.value())}});
    m_holding.reset();
    acquire();
}

} // namespace cranberry
