#include "delivery/RequestClaim.h"

namespace cranberry {

RequestClaim::RequestClaim(ClaimGate &gate, QByteArray key, QByteArray fingerprint)
    : m_gate(gate)
    , m_key(std::move(key))
    , m_fingerprint(std::move(fingerprint))
    , m_state(std::make_shared<State>())
{
}

RequestClaim::~RequestClaim()
{
    abandon();
}

void RequestClaim::take(const AttemptId &attempt, ClaimGate::Callback callback)
{
    m_attempt = attempt;
    m_gate.claim(m_key, m_fingerprint, attempt,
                 [&gate = m_gate, state = m_state, key = m_key, attempt,
                  callback = std::move(callback)](const Result<ClaimDecision> &decision) {
                     const bool won = decision && decision.value().kind == ClaimDecision::Kind::Won;
                     if (state->abandoned) {
                         if (won)
                             gate.release(key, attempt);
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
    m_gate.release(m_key, m_attempt);
}

} // namespace cranberry
