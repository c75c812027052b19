#pragma once

#include "load/LoadMetrics.h"

#include <QJsonObject>
#include <QList>
#include <QString>

namespace cranberry::load {

/// Measurements of one policy, one for each seed, in the order of the seeds.
struct PolicyRuns {
    QString policy;
    QList<LoadMetrics> runs;
};

/// The measurements of several policies on the same arrivals.
using PolicyComparison = QList<PolicyRuns>;

/// One measure of one policy over all seeds, and relative to the best baseline.
struct ComparedMeasure {
    double median = 0;
    double min = 0;
    double max = 0;
    /// Median, minimum and maximum over the seeds of the ratio to the best baseline. Seeds with a
    /// baseline of zero are left out; negative if none remains.
    double ratio = -1;
    double minRatio = -1;
    double maxRatio = -1;
};

/// The names of the compared measures in table order. Thread-safe.
QList<QString> measureNames();

/// Compares @p measure of @p policy with the best baseline, the policy other than "forecast" with
/// the best median. Thread-safe. Precondition: @p policy is in @p comparison with at least one run,
/// and @p measure is one of measureNames().
ComparedMeasure compareMeasure(const PolicyComparison &comparison, const QString &policy,
                               const QString &measure);

/// Formats @p comparison as a human-readable table. Thread-safe.
QString comparisonTable(const PolicyComparison &comparison);
/// Formats @p comparison for the JSON report. Thread-safe.
QJsonObject comparisonJson(const PolicyComparison &comparison);

} // namespace cranberry::load
