#pragma once

#include "base/Units.h"
#include "quarantine/RequestFingerprint.h"

#include <QCborMap>
#include <QList>

#include <optional>

namespace cranberry {

enum class QuarantineNewsKind {
    Suspects = 1,
    Quarantined = 2,
    Released = 3,
    ProbationStarted = 4,
    ProbationEnded = 5,
    ProbationReserved = 6,
};

/// A message between daemons about suspects, probations or quarantined requests.
struct QuarantineNews {
    QuarantineNewsKind kind = QuarantineNewsKind::Suspects;
    /// Requests of one workspace; more than one only for Suspects.
    QList<RequestFingerprint> fingerprints;
    WorkspaceId workspace;
    /// Remaining time of a quarantine, or maximum remaining time of a probation.
    Milliseconds remaining{0};
    /// The target of a probation; empty for other kinds.
    TargetId target;
};

/// Maximum number of fingerprints that fit into the size limit of a membership delta.
constexpr int MaxFingerprintsPerNews = 8;

/// Thread-safe.
QCborMap quarantineNewsToCbor(const QuarantineNews &news);

/// Empty if @p body is malformed. Thread-safe.
std::optional<QuarantineNews> quarantineNewsFromCbor(const QCborMap &body);

} // namespace cranberry
