#pragma once

#include "quarantine/CrashSuspicion.h"
#include "quarantine/RequestFingerprint.h"

#include <QList>
#include <QMap>

namespace cranberry {

/// What a daemon knows of the runs of one request that may have crashed their targets. Records of
/// different daemons are joined with merge().
struct CrashRecord {
    RequestFingerprint fingerprint;
    WorkspaceId workspace;
    QList<CrashSuspicion> suspicions;
    /// How often the request ran to its end lately, by daemon.
    QMap<VmId, int> completions;
};

} // namespace cranberry
