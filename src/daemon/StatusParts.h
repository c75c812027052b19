// Defines the parts of the operators' status page that a daemon knows.
#pragma once

#include "base/Units.h"

#include <QJsonArray>

namespace cranberry {

class MemberView;
class Quarantine;
class TargetTable;
struct Configuration;

/// Members as the status page shows them. Thread-safe.
QJsonArray memberStatus(const MemberView &members);

/// Targets as the status page shows them. Thread-safe.
QJsonArray targetStatus(const TargetTable &targets, const Configuration &configuration,
                        MonotonicTime now);

/// Requests that are held back. Thread-safe.
QJsonArray quarantineStatus(Quarantine &quarantine, MonotonicTime now);

} // namespace cranberry
