// Defines LoadReports, the lagging load reports of the stand-in engine.
#pragma once

#include "base/TimerService.h"

#include <QJsonObject>

#include <list>

namespace cranberry::test {

/// Keeps past reports, so that a caller can be given an old one.
/// Thread safety: only from one thread.
class LoadReports
{
public:
    /// Adds the report of @p now and drops those that @p lag makes useless.
    void add(MonotonicTime now, const QJsonObject &report, Milliseconds lag);

    /// The latest report that is at least @p lag old, or the oldest there is, with its age.
    /// Precondition: one was added.
    QJsonObject at(MonotonicTime now, Milliseconds lag) const;

private:
    struct Report {
        MonotonicTime time;
        QJsonObject report;
    };

    std::list<Report> m_reports;
};

} // namespace cranberry::test
