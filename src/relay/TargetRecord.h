#pragma once

#include "admission/TargetSpeed.h"
#include "relay/EngineReport.h"
#include "relay/PeerLoad.h"
#include "relay/RelayTarget.h"

#include <QHash>

#include <optional>

namespace cranberry {

/// What a daemon knows of one target.
struct TargetRecord {
    bool isCold(MonotonicTime now) const { return now < coldUntil; }
    /// Whether other targets are preferred, as the target failed or rejected requests.
    bool isSuspect(MonotonicTime now) const { return now < suspectUntil || now < avoidedUntil; }
    /// Whether the requests sent to the target are paced.
    bool isPaced(MonotonicTime now) const { return isCold(now) || now < maybeColdUntil; }

    RelayTarget entry;
    /// The target is slow after a start until this time.
    MonotonicTime coldUntil;
    /// The target may have become cold without having reported it, until this time.
    MonotonicTime maybeColdUntil;
    /// While the target is or may be cold, this daemon sends it no request before this time; see
    /// coldPace().
    MonotonicTime nextColdSend;
    bool isLeaving = false;
    /// The target's entry cannot be read; it takes no new work in the meantime.
    bool isWithheld = false;
    /// The earliest time at which the target is gone, once it is leaving.
    MonotonicTime leavesAt;
    /// The target's link is used by copies of generations until this time, as far as they are
    /// known.
    MonotonicTime linkFreeAt;
    /// Requests of this daemon that are at the target now.
    int ownRunning = 0;
    /// Maximum memory that these requests are forecast to take.
    Tokens ownTokens;
    /// Memory at the target that copies of generations at other targets are forecast to take.
    Tokens ownBackup;
    /// Prompts of these requests that have not yielded a token yet.
    Tokens ownUnread;
    /// What all daemons observed of it recently.
    TargetSpeed speed;
    /// The loads that the other daemons report at the target.
    QHash<VmId, PeerLoad> peers;
    /// When the target's own data centre last reported its load; never set in a small fleet.
    MonotonicTime ownerReportedAt;
    /// Share of recent requests that the target failed, 0 to 1; newer requests count more.
    double failureRate = 0;
    MonotonicTime lastOutcomeAt;
    int consecutiveFailures = 0;
    /// The target takes no work before this time, unless no other target can.
    MonotonicTime suspectUntil;
    int consecutiveRejections = 0;
    /// The target rejected a request; it takes no work before this time, unless no other target
    /// can.
    MonotonicTime avoidedUntil;
    /// This daemon sends no new prompt to the target before this time.
    MonotonicTime firstUseAfter;
    /// The target reported that it has no room and is asked again after this time.
    MonotonicTime fullUntil;
    std::optional<EngineReport> report;
    MonotonicTime reportedAt;
    /// Requests and memory placed at the target since its last report.
    int placedSinceReport = 0;
    Tokens tokensSinceReport;
};

} // namespace cranberry
