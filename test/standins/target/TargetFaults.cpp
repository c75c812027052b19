#include "standins/target/TargetFaults.h"

namespace cranberry::test {

void applyFaults(TargetFaults &faults, const QJsonObject &change)
{
    faults.dieOn = change.value(QLatin1String("die_on")).toString(faults.dieOn);
    faults.stallAfter = change.value(QLatin1String("stall_after")).toInt(faults.stallAfter);
    faults.stallResumes = change.value(QLatin1String("stall_resumes")).toInt(faults.stallResumes);
    faults.swallow = change.value(QLatin1String("swallow")).toInt(faults.swallow);
    faults.slowFactor = change.value(QLatin1String("slow_factor")).toDouble(faults.slowFactor);
    faults.leaving = change.value(QLatin1String("leaving")).toBool(faults.leaving);
    faults.refuse = change.value(QLatin1String("refuse")).toBool(faults.refuse);
    faults.resetBeforeAnswer =
        change.value(QLatin1String("reset_before_answer")).toInt(faults.resetBeforeAnswer);
    faults.wrongAttempt = change.value(QLatin1String("wrong_attempt")).toBool(faults.wrongAttempt);
    faults.reportLagMs = change.value(QLatin1String("report_lag_ms")).toInt(faults.reportLagMs);
}

QJsonObject toJson(const TargetFaults &faults)
{
    return {{QStringLiteral("die_on"), faults.dieOn},
            {QStringLiteral("stall_after"), faults.stallAfter},
            {QStringLiteral("stall_resumes"), faults.stallResumes},
            {QStringLiteral("swallow"), faults.swallow},
            {QStringLiteral("slow_factor"), faults.slowFactor},
            {QStringLiteral("leaving"), faults.leaving},
            {QStringLiteral("refuse"), faults.refuse},
            {QStringLiteral("reset_before_answer"), faults.resetBeforeAnswer},
            {QStringLiteral("wrong_attempt"), faults.wrongAttempt},
            {QStringLiteral("report_lag_ms"), faults.reportLagMs}};
}

} // namespace cranberry::test
