#pragma once

#include <QString>

class QJsonObject;

namespace cranberry::ctl {

/// Formats the daemons with their configuration versions and the quarantine list of @p status, a
/// response to /v1/status, as text for operators. Thread-safe.
QString statusText(const QJsonObject &status);

/// Formats the targets of @p status, a response to /v1/status, with their memory use and whether
/// they are leaving or dead, as text for operators. Thread-safe.
QString targetsText(const QJsonObject &status);

} // namespace cranberry::ctl
