// Defines TargetState, what the target table keeps of one target.
#pragma once

#include "placement/LoadReport.h"
#include "placement/TargetLoad.h"

#include <QList>
#include <QSet>

#include <deque>

namespace cranberry {

/// A send of this daemon that is under way or ended lately.
struct OwnSend {
    MonotonicTime sentAt;
    MonotonicTime endedAt = MonotonicTime::max();
    Tokens tokens;
};

/// A prompt prefix that the target probably still caches.
struct RecentPrefix {
    quint64 hash = 0;
    MonotonicTime sentAt;
};

/// A request of another daemon that was given room here. What it has generated is taken from
/// the time that has passed.
struct Grant {
    RequestId request;
    MonotonicTime grantedAt;
    Tokens promptTokens;
    LengthDistribution length;
    double millisecondsPerToken = 0;
};

/// Guarded by the lock of the table.
struct TargetState {
    TargetId target;
    ServiceId service;
    DataCentreId dataCentre;
    /// Hash of the id, the same on every daemon.
    quint64 idHash = 0;
    /// The one daemon that gives out its room; empty if every daemon may.
    VmId home;
    QList<ModelId> models;
    bool configured = false;
    bool dead = false;
    bool leaving = false;
    /// The newest incarnation that was seen leaving.
    Incarnation leavingIncarnation;
    Incarnation incarnation;
    LoadReport report;
    /// When the report was made; the epoch if there is none.
    MonotonicTime reportMadeAt;
    /// The report less this daemon's requests at that time.
    Tokens othersResidentTokens;
    int othersRequests = 0;
    QSet<AttemptId> ownAttempts;
    Tokens ownResidentTokens;
    Tokens ownPrefillTokens;
    MemoryForecast ownForecast;
    std::deque<OwnSend> endedSends;
    std::deque<Grant> grants;
    std::deque<RecentPrefix> prefixes;
};

} // namespace cranberry
