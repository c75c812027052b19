#pragma once

#include "base/Result.h"
#include "load/LoadTargets.h"

#include <QString>

namespace cranberry::load {

/// Sets the placement policy of @p service to @p policy in the configuration of a running fleet,
/// and waits until the new version is in force at every gateway that responds. Runs the event loop
/// while it waits. Error BadRequest with the cause if the configuration cannot be read or changed,
/// or is not in force before the timeout.
Result<void> switchPolicy(const LoadTargets &targets, const QString &service,
                          const QString &policy);

} // namespace cranberry::load
