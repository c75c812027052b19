#include "standins/target/LoadReports.h"

namespace cranberry::test {

void LoadReports::add(MonotonicTime now, const QJsonObject &report, Milliseconds lag)
{
    m_reports.push_back({now, report});
    while (m_reports.size() > 1 && std::next(m_reports.begin())->time <= now - lag)
        m_reports.pop_front();
}

QJsonObject LoadReports::at(MonotonicTime now, Milliseconds lag) const
{
    auto chosen = m_reports.begin();
    while (std::next(chosen) != m_reports.end() && std::next(chosen)->time <= now - lag)
        ++chosen;
    QJsonObject report = chosen->report;
    const auto age = std::chrono::duration_cast<Milliseconds>(now - chosen->time);
    report.insert(QStringLiteral("age_ms"), qint64(age.count()));
    return report;
}

} // namespace cranberry::test
