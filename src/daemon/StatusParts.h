#pragma once

#include "base/Units.h"

#include <QJsonArray>

namespace cranberry {

class MemberView;
class Quarantine;
class TargetTable;
struct Configuration;

/// The `members` array of the operator status: one object per daemon. Thread-safe.
QJsonArray memberStatus(const MemberView &members);

/// The `targets` array of the operator status: one object per target with its load and state.
/// Thread-safe.
QJsonArray targetStatus(const TargetTable &targets, const Configuration &configuration,
                        MonotonicTime now);

/// The `quarantine` array of the operator status: one object per quarantined request with the
/// time at which its quarantine ends. Thread-safe.
QJsonArray quarantineStatus(Quarantine &quarantine, MonotonicTime now);

} // namespace cranberry
