// Defines TargetRecord, what a daemon knows of one target.
#pragma once

#include "relay/EngineReport.h"
#include "relay/PeerLoad.h"
#include "relay/RelayTarget.h"

#include <QHash>

#include <optional>

namespace cranberry {

struct TargetRecord {
    bool isCold(MonotonicTime now) const { return now < coldUntil; }
    /// What is sent there keeps to a pace.
    bool isPaced(MonotonicTime now) const { return isCold(now) || now < maybeColdUntil; }

    RelayTarget entry;
    /// Slow after a start until then.
    MonotonicTime coldUntil;
    /// It may have become cold without having said so yet, until then.
    MonotonicTime maybeColdUntil;
    /// While it is or may be cold, this daemon sends it no request before; see coldPace().
    MonotonicTime coldSendAfter;
    bool isLeaving = false;
    /// Its entry cannot be read; takes no new work meanwhile.
    bool isWithheld = false;
    /// When it is gone at the earliest, once it is leaving.
    MonotonicTime leavesAt;
    /// Its link is taken by copies of generations until then, as far as they are known.
    MonotonicTime linkFree;
    /// Requests of this daemon that are at the target now.
    int ownRunning = 0;
    /// Memory that these will take at most by the forecast.
    Tokens ownTokens;
    /// Memory there that copies of generations at other targets take, by the forecast.
    Tokens ownBackup;
    /// Prompts of these that have not yielded a token yet.
    Tokens ownUnread;
    /// What the other daemons say that they have there.
    QHash<VmId, PeerLoad> peers;
    /// When its own data centre last told of it; never in a small fleet.
    MonotonicTime toldByOwner;
    /// Share of recent requests that the target failed, 0 to 1; newer ones count more.
    double failureShare = 0;
    MonotonicTime failureSeen;
    int failuresInRow = 0;
    /// Takes no work before, unless no other target can.
    MonotonicTime suspectUntil;
    /// This daemon sends no new prompt there before.
    MonotonicTime spreadUntil;
    /// It said that it has no room; asked again from then on.
    MonotonicTime fullUntil;
    std::optional<EngineReport> report;
    MonotonicTime reportedAt;
    /// Requests and memory placed there since the report.
    int placedSince = 0;
    Tokens tokensSince;
};

} // namespace cranberry
