#include "relay/TargetPlace.h"

#include "relay/TargetDirectory.h"

namespace cranberry {

TargetPlace::TargetPlace(TargetDirectory &targets, const TargetId &target, Tokens tokens)
    : m_targets(targets)
    , m_target(target)
    , m_tokens(tokens)
{
    m_targets.requestPlaced(m_target, m_tokens);
}

TargetPlace::~TargetPlace()
{
    m_targets.requestEnded(m_target, m_tokens);
}

} // namespace cranberry
