// Defines TimeHistogram, a fine distribution of times for comparing policies.
#pragma once

#include <QList>

#include <boost/histogram.hpp>

namespace cranberry::load {

/// Times in milliseconds on a logarithmic axis whose bins are 1.4% wide.
/// Thread safety: a value type.
class TimeHistogram
{
public:
    struct Point {
        double milliseconds = 0;
        /// Share of all times that are longer.
        double shareAbove = 0;
    };

    TimeHistogram();

    void add(double milliseconds);
    void add(const TimeHistogram &other);

    qint64 count() const { return m_count; }
    /// Upper edge of the bin that holds @p quantile; 0 if there are no times.
    double quantile(double quantile) const;
    double largest() const { return m_largest; }
    double mean() const { return m_count == 0 ? 0 : m_sum / double(m_count); }
    /// The share of longer times at each bin's upper edge, from the first bin with a time to the
    /// last.
    QList<Point> tail() const;

private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using Histogram = decltype(boost::histogram::make_histogram(Axis()));

    Histogram m_histogram;
    qint64 m_count = 0;
    double m_sum = 0;
    double m_largest = 0;
};

} // namespace cranberry::load
