// Defines PolicyComparison, the measurements of several policies on the same arrivals.
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

using PolicyComparison = QList<PolicyRuns>;

/// One measure over the seeds of one policy, and against the best other policy.
struct ComparedMeasure {
    double median = 0;
    double least = 0;
    double most = 0;
    /// Median, least and most of the ratios seed by seed to the best baseline; negative if the
    /// baseline is zero.
    double ratio = -1;
    double leastRatio = -1;
    double mostRatio = -1;
};

/// The names of the measures that are compared, in the order of the table.
QList<QString> measureNames();

/// @p measure of @p policy. The best baseline is the policy other than "forecast" with the
/// best median. Precondition: the policy is in the comparison with at least one run.
ComparedMeasure compareMeasure(const PolicyComparison &comparison, const QString &policy,
                               const QString &measure);

QString comparisonTable(const PolicyComparison &comparison);
QJsonObject comparisonJson(const PolicyComparison &comparison);

} // namespace cranberry::load
