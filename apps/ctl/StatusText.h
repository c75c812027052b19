// Defines how cranberryctl prints the status of a daemon.
#pragma once

#include <QString>

class QJsonObject;

namespace cranberry::ctl {

/// Daemons with their versions, and the quarantine, of an answer to /v1/status. Thread-safe.
QString statusText(const QJsonObject &status);

/// Targets with memory and marks, of an answer to /v1/status. Thread-safe.
QString targetsText(const QJsonObject &status);

} // namespace cranberry::ctl
