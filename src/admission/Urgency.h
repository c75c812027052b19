#pragma once

#include "base/Units.h"

#include <cstddef>
#include <optional>

namespace cranberry {

/// How a request relates to an earlier rejection of the same request, in the order of precedence.
enum class ReturnKind {
    /// The caller retries at the time that it was told.
    AsTold,
    New,
    /// The caller retries before that time.
    Early,
};
constexpr std::size_t ReturnKindCount = 3;

/// The name of @p kind in logs and metrics. Thread-safe.
const char *returnKindName(ReturnKind kind);

/// Priorities of routes and workspaces range from 0, the most urgent, to this.
constexpr int MaxPriority = 9;
constexpr int PriorityCount = MaxPriority + 1;
/// How far a workspace exceeds its part; see overuseLevel().
constexpr int MaxOveruseLevel = 3;
/// Levels of one combined priority.
constexpr int LevelsPerPriority = MaxOveruseLevel + 1;
/// Level of requests that can no longer be answered within their objective.
constexpr int OverdueLevel = PriorityCount * PriorityCount * LevelsPerPriority;
/// Number of values of Urgency::level.
constexpr int UrgencyLevels = OverdueLevel + 1;

/// Orders requests by the priority of their workspace, if it has one, and those of equal ones by
/// the priority of their route. A workspace without a priority counts as having that of the route.
/// Priorities are clamped to the range. Thread-safe.
int combinedPriority(std::optional<int> workspacePriority, int routePriority);

/// The level of a request with the combined priority @p priority and the @p overuse of its
/// workspace: of equal priorities the workspace that exceeds its part less goes first. Thread-safe.
int urgencyLevel(int priority, int overuse);

/// The place of a request among all that compete for the same room.
struct Urgency {
    /// See urgencyLevel(); 0 is the most urgent.
    int level = 0;
    ReturnKind returns = ReturnKind::New;
    MonotonicTime arrived;
    /// It takes its room for so short a time that it may use what longer requests cannot use yet;
    /// see workAhead().
    bool isBrief = false;
};

/// Strict weak ordering: by level, then by kind of return, then the older first. Thread-safe.
bool isMoreUrgent(const Urgency &a, const Urgency &b);

} // namespace cranberry
