#pragma once

#include "base/Ids.h"
#include "base/Units.h"

namespace cranberry {

class TargetDirectory;

/// Counts one request of this daemon at a target during its lifetime. The record of the target is
/// kept for that time even if its entry ends.
/// Thread safety: only from the thread of the event loop.
class TargetPlace
{
public:
    /// Precondition: @p targets outlives the object; @p target is known there.
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
