#pragma once

#include "base/Ids.h"
#include "base/Units.h"

#include <QList>
#include <QString>

#include <optional>

namespace cranberry {

/// What a daemon knows of its own way to the targets of one service. A failed attempt does not show
/// whether its target failed or this daemon is partitioned from the targets; probes of several
/// targets over new connections do. Connections from before a partition may work during it, so that
/// answers over them prove nothing.

/// Number of targets that are probed at a time: several failed targets are unlikely to be chosen
/// together, and answers of one show that the service is reachable.
constexpr int TargetsPerProbe = 3;
/// Time for a probe to connect; the kernel of a live target accepts within a few ms.
constexpr Milliseconds ProbeConnectTimeout{400};
/// Time from the connection to the answer of a probe. A sound target may be silent for a second.
constexpr Milliseconds ProbeAnswerTimeout{1000};
/// Interval between probes while the service is unreachable; callers are served by other daemons.
constexpr Milliseconds UnreachableProbeInterval{500};

struct ServiceReach {
    bool isUnreachable = false;
    /// When the state last changed.
    MonotonicTime changedAt;
    /// The last answer over any connection.
    MonotonicTime answeredAt;
    /// The last answer over a connection that was opened for it.
    MonotonicTime answeredNewAt;
    /// If set, a request is unanswered, and no answer of the service has arrived since; the service
    /// is to be probed at this time.
    std::optional<MonotonicTime> silentAt;
    bool isProbing = false;
    MonotonicTime probedAt;
};

/// Records a request that was sent; its target is expected to answer within @p patience.
/// Thread-safe.
void recordRequest(ServiceReach &reach, Milliseconds patience, MonotonicTime now);

/// Records an answer; @p isNewConnection: over a connection that was opened for it. Returns whether
/// the service has become reachable. Thread-safe.
bool recordReachAnswer(ServiceReach &reach, bool isNewConnection, MonotonicTime now);

/// Whether to probe the service after an attempt that ended without any answer. Thread-safe.
bool shouldProbeAfterFailure(const ServiceReach &reach, bool isNewConnection, MonotonicTime now);

/// Whether to probe the service because nothing has answered, or because it is unreachable.
/// Thread-safe.
bool isProbeDue(const ServiceReach &reach, MonotonicTime now);

/// Whether to probe the service because another daemon cannot reach it. Thread-safe.
bool shouldVerify(const ServiceReach &reach, MonotonicTime now);

void beginProbe(ServiceReach &reach, MonotonicTime now);

/// Records that no probed target answered. Returns whether the service has become unreachable.
/// Thread-safe.
bool recordProbeFailed(ServiceReach &reach, MonotonicTime now);

} // namespace cranberry
