// Defines RequestClaim, the claim of one request that must run at most once.
#pragma once

#include "delivery/ClaimGate.h"

#include <memory>

namespace cranberry {

/// Takes the claim before the first send and gives it back if nothing ran.
/// A request can end while its claim is under way: its deadline passes, or its caller leaves.
/// The claim, won afterwards, would keep the key taken for a day though nothing ran; it is given
/// back then, whether or not the request's own object still lives.
/// Thread safety: only from the thread of its gate.
class RequestClaim
{
public:
    /// Precondition: @p gate outlives every claim under way.
    RequestClaim(ClaimService &claims, QByteArray key, QByteArray fingerprint);
    ~RequestClaim();
    RequestClaim(const RequestClaim &) = delete;
    RequestClaim &operator=(const RequestClaim &) = delete;

    /// The claim stands, so that the request may be sent.
    bool isHeld() const { return m_state->held; }
    /// The attempt that it was taken for; empty before take().
    const AttemptId &attempt() const { return m_attempt; }

    /// Claims for @p attempt; @p callback is called once unless abandon() comes first.
    /// Precondition: not taken before.
    void acquire(const AttemptId &attempt, ClaimService::Callback callback);

    /// The request is over: a claim still under way is given back if it is won. One that is held
    /// stays.
    void abandon() { m_state->abandoned = true; }

    /// Gives back a claim that is held. Precondition: nothing under it ran.
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
