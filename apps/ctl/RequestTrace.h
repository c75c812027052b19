#pragma once

#include "ctl/LogLine.h"

#include <QList>
#include <QStringList>

namespace cranberry::ctl {

/// The lines about one request in the logs of several daemons, and an explanation of its outcome.
struct RequestTrace {
    /// Lines of the request, and lines about its targets and about the platform and evacuations as
    /// seen by its daemons, in time order.
    QList<LogLine> lines;
    /// How and why the request ended, one entry per statement. Empty if no line has the request.
    QStringList verdict;
};

/// Selects the lines that concern the request with the id @p request from @p lines and derives how
/// it ended. Thread-safe.
RequestTrace traceRequest(const QString &request, const QList<LogLine> &lines);

} // namespace cranberry::ctl
