#pragma once

#include "quarantine/CrashKey.h"
#include "quarantine/CrashSuspicion.h"

#include <QList>
#include <QMap>

namespace cranberry {

/// What a daemon knows of the runs of one request, or of requests with one part, that may have
/// crashed their targets. Records of different daemons are joined with merge().
struct CrashRecord {
    CrashKey key;
    QList<CrashSuspicion> suspicions;
    /// How often the request ran to its end lately, by daemon. Empty for a part: its suspicions are
    /// withdrawn as soon as an answer begins to a request with it.
    QMap<VmId, int> completions;

    bool isPart() const { return !key.part.isEmpty(); }
};

} // namespace cranberry
