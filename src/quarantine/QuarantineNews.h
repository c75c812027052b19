// Defines QuarantineNews, what daemons tell each other of suspects and quarantined requests.
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

struct QuarantineNews {
    QuarantineNewsKind kind = QuarantineNewsKind::Suspects;
    /// Of one workspace; several only of suspects.
    QList<RequestFingerprint> fingerprints;
    WorkspaceId workspace;
    /// Time that is left of a quarantine or at most of a probation.
    Milliseconds left{0};
    /// Where a suspect runs; only of probations.
    TargetId target;
};

/// So many fingerprints fit the bound of a membership delta.
constexpr int MostFingerprintsOfNews = 8;

/// Thread-safe.
QCborMap quarantineNewsToCbor(const QuarantineNews &news);

/// Empty if @p body is not well formed. Thread-safe.
std::optional<QuarantineNews> quarantineNewsFromCbor(const QCborMap &body);

} // namespace cranberry
