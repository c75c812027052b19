#include "load/PolicyComparison.h"

#include <QJsonArray>
#include <QTextStream>

#include <algorithm>

namespace cranberry::load {

namespace {

struct Measure {
    const char *name;
    bool isHigherBetter;
    double (*value)(const LoadMetrics &metrics);
};

const Measure Measures[] = {
    {"preemptions", false, [](const LoadMetrics &m) { return double(m.preemptions); }},
    {"stall_ms", false, [](const LoadMetrics &m) { return m.stallMs; }},
    {"between_p99_ms", false, [](const LoadMetrics &m) { return m.betweenTokens.quantile(0.99); }},
    {"between_p99_9_ms", false,
     [](const LoadMetrics &m) { return m.betweenTokens.quantile(0.999); }},
    {"first_token_p50_ms", false, [](const LoadMetrics &m) { return m.firstToken.quantile(0.5); }},
    {"first_token_p95_ms", false, [](const LoadMetrics &m) { return m.firstToken.quantile(0.95); }},
    {"goodput_tokens", true, [](const LoadMetrics &m) { return double(m.wholeTokens); }},
    {"goodput_in_deadline", true,
     [](const LoadMetrics &m) { return double(m.wholeTokensInDeadline); }},
    {"whole", true, [](const LoadMetrics &m) { return double(m.whole); }},
    {"refused", false, [](const LoadMetrics &m) { return double(m.refused); }},
    {"failed", false, [](const LoadMetrics &m) { return double(m.failed + m.unfinished); }},
};

const Measure &findMeasure(const QString &name)
{
    return *std::find_if(std::begin(Measures), std::end(Measures), [&](const Measure &measure) {
        return name == QLatin1String(measure.name);
    });
}

double medianOf(QList<double> values)
{
    std::sort(values.begin(), values.end());
    const qsizetype middle = values.size() / 2;
    return values.size() % 2 == 1 ? values.at(middle)
                                  : (values.at(middle - 1) + values.at(middle)) / 2;
}

QList<double> measureValues(const PolicyRuns &policy, const Measure &measure)
{
    QList<double> values;
    for (const LoadMetrics &run : policy.runs)
        values.append(measure.value(run));
    return values;
}

/// The policy with the best median of @p measure. "forecast" is left out unless it is the only one.
const PolicyRuns &bestBaseline(const PolicyComparison &comparison, const Measure &measure)
{
    const PolicyRuns *best = nullptr;
    double bestMedian = 0;
    for (const PolicyRuns &policy : comparison) {
        if (policy.policy == QLatin1String("forecast") && comparison.size() > 1)
            continue;
        const double median = medianOf(measureValues(policy, measure));
        const bool isBetter = measure.isHigherBetter ? median > bestMedian : median < bestMedian;
        if (!best || isBetter) {
            best = &policy;
            bestMedian = median;
        }
    }
    return *best;
}

const PolicyRuns &findPolicy(const PolicyComparison &comparison, const QString &name)
{
    return *std::find_if(comparison.begin(), comparison.end(),
                         [&](const PolicyRuns &policy) { return policy.policy == name; });
}

QString ratioText(const ComparedMeasure &compared)
{
    if (compared.ratio < 0)
        return QStringLiteral("-");
    return QStringLiteral("%1 (%2-%3)")
        .arg(compared.ratio, 0, 'f', 2)
        .arg(compared.minRatio, 0, 'f', 2)
        .arg(compared.maxRatio, 0, 'f', 2);
}

} // namespace

QList<QString> measureNames()
{
    QList<QString> names;
    for (const Measure &measure : Measures)
        names.append(QString::fromLatin1(measure.name));
    return names;
}

ComparedMeasure compareMeasure(const PolicyComparison &comparison, const QString &policy,
                               const QString &measure)
{
    const Measure &compared = findMeasure(measure);
    const QList<double> values = measureValues(findPolicy(comparison, policy), compared);
    const QList<double> baselineValues =
        measureValues(bestBaseline(comparison, compared), compared);
    ComparedMeasure result;
    result.median = medianOf(values);
    result.min = *std::min_element(values.begin(), values.end());
    result.max = *std::max_element(values.begin(), values.end());
    QList<double> ratios;
    for (qsizetype i = 0; i < std::min(values.size(), baselineValues.size()); ++i) {
        if (baselineValues.at(i) > 0)
            ratios.append(values.at(i) / baselineValues.at(i));
    }
    if (ratios.isEmpty())
        return result;
    result.ratio = medianOf(ratios);
    result.minRatio = *std::min_element(ratios.begin(), ratios.end());
    result.maxRatio = *std::max_element(ratios.begin(), ratios.end());
    return result;
}

QString comparisonTable(const PolicyComparison &comparison)
{
    QString text;
    QTextStream out(&text);
    out << "median over seeds, then the ratio to the best baseline (min-max over seeds)\n";
    out << QStringLiteral("%1").arg(QString(), -22);
    for (const PolicyRuns &policy : comparison)
        out << QStringLiteral("%1").arg(policy.policy, -32);
    out << '\n';
    const QList<QString> names = measureNames();
    for (const QString &name : names) {
        out << QStringLiteral("%1").arg(name, -22);
        for (const PolicyRuns &policy : comparison) {
            const ComparedMeasure compared = compareMeasure(comparison, policy.policy, name);
            const QString cell =
                QStringLiteral("%1  %2").arg(compared.median, 0, 'f', 1).arg(ratioText(compared));
            out << QStringLiteral("%1").arg(cell, -32);
        }
        out << '\n';
    }
    return text;
}

QJsonObject comparisonJson(const PolicyComparison &comparison)
{
    QJsonObject policies;
    const QList<QString> names = measureNames();
    for (const PolicyRuns &policy : comparison) {
        QJsonObject measures;
        for (const QString &name : names) {
            const ComparedMeasure compared = compareMeasure(comparison, policy.policy, name);
            QJsonObject measure{{QStringLiteral("median"), compared.median},
                                {QStringLiteral("least"), compared.min},
                                {QStringLiteral("most"), compared.max}};
            if (compared.ratio >= 0) {
                measure.insert(QStringLiteral("ratio_to_best_baseline"),
                               QJsonArray{compared.ratio, compared.minRatio, compared.maxRatio});
            }
            measures.insert(name, measure);
        }
        QJsonArray runs;
        for (const LoadMetrics &run : policy.runs)
            runs.append(metricsJson(run));
        policies.insert(
            policy.policy,
            QJsonObject{{QStringLiteral("measures"), measures}, {QStringLiteral("runs"), runs}});
    }
    return {{QStringLiteral("policies"), policies}};
}

} // namespace cranberry::load
