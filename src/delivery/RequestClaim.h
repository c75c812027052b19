#pragma once

#include "delivery/ClaimService.h"

#include <memory>

namespace cranberry {

/// The claim of one at-most-once request: acquired before the first send and released if nothing
/// ran. A request can end while its claim is pending, because its deadline passes or its caller
/// disconnects. A claim that is won afterwards would block the key for a day although nothing
/// ran, so it is released, whether or not this object still exists.
/// Thread safety: only from the thread of its claim service.
class RequestClaim
{
public:
    /// Precondition: @p claims outlives every pending claim.
    RequestClaim(ClaimService &claims, QByteArray key, QByteArray fingerprint);
    ~RequestClaim();
    RequestClaim(const RequestClaim &) = delete;
    RequestClaim &operator=(const RequestClaim &) = delete;

    /// Whether the claim is held, so that the request may be sent.
    bool isHeld() const { return m_state->held; }
    /// The attempt that the claim was requested for; empty before acquire().
    const AttemptId &attempt() const { return m_attempt; }

    /// Requests the claim for @p attempt. @p callback is called once, unless abandon() is called
    /// first. Precondition: called once.
    void acquire(const AttemptId &attempt, ClaimService::Callback callback);

    /// Called when the request has ended: a pending claim is released if it is won later. A claim
    /// that is already held is kept.
    void abandon() { m_state->abandoned = true; }

    /// Releases the claim if it is held. Precondition: nothing ran under it.
    void release();

private:
    struct State {
        bool held = false;
        bool abandoned = false;
    };

    ClaimService &m_claims;
    QByteArray m_key;
    QByteArray m_fingerprint;
    AttemptId m_attempt;
    std::shared_ptr<State> m_state;
};

} // namespace cranberry
