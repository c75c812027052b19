#include "delivery/RequestClaim.h"

namespace cranberry {

RequestClaim::RequestClaim(ClaimService &claims, QByteArray key, QByteArray fingerprint)
    : m_claims(claims)
    , m_key(std::move(key))
    , m_fingerprint(std::move(fingerprint))
    , m_state(std::make_shared<State>())
{
}

RequestClaim::~RequestClaim()
{
    abandon();
}

void RequestClaim::acquire(const AttemptId &attempt, ClaimService::Callback callback)
{
    m_attempt = attempt;
    m_claims.claim(m_key, m_fingerprint, attempt,
                   [&claims = m_claims, state = m_state, key = m_key, attempt,
                    callback = std::move(callback)](const Result<ClaimDecision> &decision) {
                       const bool won =
                           decision && decision.value().kind == ClaimDecision::Kind::Won;
                       if (state->abandoned) {
                           if (won)
                               claims.release(key, attempt);
                           return;
                       }
                       state->held = won;
                       callback(decision);
                   });
}

void RequestClaim::release()
{
    if (!m_state->held)
        return;
    m_state->held = false;
    m_claims.release(m_key, m_attempt);
}

} // namespace cranberry
