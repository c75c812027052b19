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

QByteArray holderValue(LeaseId lease)
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
    const bool mayIssueNow = m_heldLease && now >= m_heldLease->mayIssueFrom
        && mayIssue(m_times, m_heldLease->requestedAt, now);
    if (!mayIssueNow)
        return std::nullopt;
    return m_heldLease->number;
}

void IssuerLease::scheduleNext(Milliseconds delay, void (IssuerLease::*action)())
{
    m_nextAction = m_timers.after(delay, [this, action] { (this->*action)(); });
}

void IssuerLease::acquire()
{
    const MonotonicTime requestedAt = m_timers.now();
    m_platform.grantLease(m_times.leaseDuration,
                          m_life.wrap([this, requestedAt](const Result<LeaseId> &lease) {
                              if (lease)
                                  createKey(lease.value(), requestedAt);
                              else
                                  scheduleNext(m_times.leaseDuration, &IssuerLease::acquire);
                          }));
}

void IssuerLease::createKey(LeaseId lease, MonotonicTime requestedAt)
{
    m_platform.compareAndSwap(issuerKey(m_service), Revision(0), holderValue(lease), lease,
                              m_life.wrap([this, lease, requestedAt](const SwapResult &result) {
                                  handleCreateResult(lease, requestedAt, result);
                              }));
}

void IssuerLease::handleCreateResult(LeaseId lease, MonotonicTime requestedAt,
                                     const SwapResult &result)
{
    if (result.outcome == SwapOutcome::Swapped)
        becomeIssuer(lease, requestedAt, result.revision);
    else if (result.outcome == SwapOutcome::Unknown)
        resolveUnknownSwap(lease, requestedAt);
    else
        scheduleNext(m_times.leaseDuration, &IssuerLease::acquire);
}

// The key may have been created although the answer was lost; without this check no daemon would
// issue orders until the lease expires. The key's value names the lease that it is attached to. A
// key from an earlier attempt of this daemon names another lease, which is not renewed, and is not
// taken over.
void IssuerLease::resolveUnknownSwap(LeaseId lease, MonotonicTime requestedAt)
{
    m_platform.read(issuerKey(m_service),
                    m_life.wrap([this, lease, requestedAt](const Result<KeyValue> &entry) {
                        if (entry && entry.value().value == holderValue(lease))
                            becomeIssuer(lease, requestedAt, entry.value().revision);
                        else
                            scheduleNext(m_times.leaseDuration, &IssuerLease::acquire);
                    }));
}

void IssuerLease::becomeIssuer(LeaseId lease, MonotonicTime requestedAt, Revision revision)
{
    const FencingNumber number(revision.value());
    m_heldLease = {lease, number, requestedAt, m_timers.now() + takeoverDelay(m_times)};
    logEvent(LogLevel::Info, EventId::IssuerGained,
             {{"service", m_service.text()}, {"fencing_number", QString::number(number.value())}});
    scheduleNext(renewalInterval(m_times), &IssuerLease::renew);
}

void IssuerLease::renew()
{
    const MonotonicTime requestedAt = m_timers.now();
    m_platform.renewLease(m_heldLease->lease,
                          m_life.wrap([this, requestedAt](const Result<LeaseId> &result) {
                              handleRenewResult(requestedAt, result);
                          }));
}

void IssuerLease::handleRenewResult(MonotonicTime requestedAt, const Result<LeaseId> &result)
{
    if (result) {
        m_heldLease->requestedAt = requestedAt;
        scheduleNext(renewalInterval(m_times), &IssuerLease::renew);
        return;
    }
    // Without an answer the lease may still be valid. Orders are issued only while it is certain to
    // be.
    const bool hasLapsed = result.error().kind == ErrorKind::OutcomeUnknown;
    if (!hasLapsed && mayIssue(m_times, m_heldLease->requestedAt, m_timers.now()))
        scheduleNext(renewalInterval(m_times), &IssuerLease::renew);
    else
        handleLeaseLost();
}

void IssuerLease::handleLeaseLost()
{
    logEvent(LogLevel::Warning, EventId::IssuerLost,
             {{"service", m_service.text()},
              {"fencing_number", QString::number(m_heldLease->number.value())}});
    m_heldLease.reset();
    acquire();
}

} // namespace cranberry
