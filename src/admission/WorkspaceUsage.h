#pragma once

#include "base/Ids.h"
#include "base/Units.h"

#include <QHash>
#include <QList>

namespace cranberry {

/// Work that a workspace uses, per second.
struct WorkspaceRate {
    WorkspaceId workspace;
    double workPerSecond = 0;
};

/// What each workspace uses of one service, by this daemon and by others. Work is tokens for
/// engines and time at the target in ms for plain services.
struct WorkspaceUsage {
    struct Decayed {
        double work = 0;
        MonotonicTime updatedAt;
    };
    struct Reported {
        QList<WorkspaceRate> rates;
        MonotonicTime reportedAt;
    };
    QHash<WorkspaceId, Decayed> own;
    QHash<VmId, Reported> peers;
};

/// Records @p work of @p workspace at this daemon. Thread safety: none.
void recordUse(WorkspaceUsage &usage, const WorkspaceId &workspace, double work, MonotonicTime now);

/// Replaces what @p peer reported. Thread safety: none.
void setReported(WorkspaceUsage &usage, const VmId &peer, QList<WorkspaceRate> rates,
                 MonotonicTime now);

/// The @p count workspaces that use most by this daemon, most first. Thread-safe.
QList<WorkspaceRate> ownRates(const WorkspaceUsage &usage, int count, MonotonicTime now);

/// What all workspaces use by all daemons. Thread-safe.
QList<WorkspaceRate> fleetRates(const WorkspaceUsage &usage, MonotonicTime now);

/// How far @p workspace exceeds its part, the total use divided by @p weights (1 if absent) among
/// the workspaces with recent use: 0 up to 1.2 times its part, 1 up to twice, 2 up to four times,
/// else 3. Always 0 with fewer than two such workspaces. What others leave unused raises the total
/// that a workspace may use, not its level, so that it is lent until they need it. Thread-safe.
int overuseLevel(const WorkspaceUsage &usage, const WorkspaceId &workspace,
                 const QHash<WorkspaceId, double> &weights, MonotonicTime now);

} // namespace cranberry
