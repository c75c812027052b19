#include "load/TimeHistogram.h"

#include <algorithm>

namespace cranberry::load {

namespace {

constexpr unsigned Bins = 1000;
constexpr double MinMs = 0.1;
constexpr double MaxMs = 100'000;

} // namespace

TimeHistogram::TimeHistogram()
    : m_histogram(boost::histogram::make_histogram(Axis(Bins, MinMs, MaxMs)))
{
}

void TimeHistogram::add(double milliseconds)
{
    m_histogram(std::clamp(milliseconds, MinMs, MaxMs * 0.999));
    ++m_count;
    m_sum += milliseconds;
    m_max = std::max(m_max, milliseconds);
}

void TimeHistogram::add(const TimeHistogram &other)
{
    m_histogram += other.m_histogram;
    m_count += other.m_count;
    m_sum += other.m_sum;
    m_max = std::max(m_max, other.m_max);
}

double TimeHistogram::quantile(double quantile) const
{
    double seen = 0;
    for (const auto &bin : boost::histogram::indexed(m_histogram)) {
        seen += double(*bin);
        if (seen > 0 && seen >= quantile * double(m_count))
            return std::min(bin.bin().upper(), m_max);
    }
    return m_max;
}

QList<TimeHistogram::Point> TimeHistogram::tail() const
{
    QList<Point> points;
    double seen = 0;
    for (const auto &bin : boost::histogram::indexed(m_histogram)) {
        if (double(*bin) == 0)
            continue;
        seen += double(*bin);
        points.append({bin.bin().upper(), 1.0 - seen / double(m_count)});
    }
    return points;
}

} // namespace cranberry::load
