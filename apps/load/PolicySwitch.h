// Defines how the placement policy of a running fleet is changed.
#pragma once

#include "base/Result.h"
#include "load/LoadTargets.h"

#include <QString>

namespace cranberry::load {

/// Puts the configuration with @p policy for @p service in, and waits until every gateway
/// that answers has that version in force. Runs the event loop while it waits.
/// Error BadRequest says what went wrong.
Result<void> switchPolicy(const LoadTargets &targets, const QString &service,
                          const QString &policy);

} // namespace cranberry::load
