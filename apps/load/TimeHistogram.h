#pragma once

#include <QList>

#include <boost/histogram.hpp>

namespace cranberry::load {

/// A histogram of times in milliseconds with logarithmic bins, each 1.4% wide, for the comparison
/// of policies.
/// Thread safety: a value type.
class TimeHistogram
{
public:
    struct Point {
        double milliseconds = 0;
        /// Share of the recorded times that are longer.
        double shareAbove = 0;
    };

    TimeHistogram();

    void add(double milliseconds);
    void add(const TimeHistogram &other);

    qint64 count() const { return m_count; }
    /// Upper edge of the bin that holds @p quantile, at most max(); 0 if the histogram is empty.
    double quantile(double quantile) const;
    double max() const { return m_max; }
    double mean() const { return m_count == 0 ? 0 : m_sum / double(m_count); }
    /// The complementary cumulative distribution: the share of longer times at the upper edge of
    /// each bin that is not empty, in ascending order.
    QList<Point> tail() const;

private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using Histogram = decltype(boost::histogram::make_histogram(Axis()));

    Histogram m_histogram;
    qint64 m_count = 0;
    double m_sum = 0;
    double m_max = 0;
};

} // namespace cranberry::load
