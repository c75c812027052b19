// Defines TargetPlace, a request's place at a target.
#pragma once

#include "base/Ids.h"
#include "base/Units.h"

namespace cranberry {

class TargetDirectory;

/// Counts one request of this daemon at a target for as long as it lives. The target's record stays
/// known meanwhile, even if its entry ends.
/// Thread safety: only from the thread of the event loop.
class TargetPlace
{
public:
    /// Precondition: @p targets outlives the place; @p target is known there.
    TargetPlace(TargetDirectory &targets, const TargetId &target, Tokens tokens);
    ~TargetPlace();
    TargetPlace(const TargetPlace &) = delete;
    TargetPlace &operator=(const TargetPlace &) = delete;

private:
    TargetDirectory &m_targets;
    TargetId m_target;
    Tokens m_tokens;
};

} // namespace cranberry
