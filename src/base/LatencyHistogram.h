#pragma once

#include "base/Units.h"

#include <QByteArray>

#include <boost/histogram.hpp>

namespace cranberry {

/// A histogram of latencies with bounded memory, on a logarithmic axis from 0.1 ms to 1000 s.
/// Not thread-safe: guard it with a lock or use it in one thread only.
class LatencyHistogram
{
public:
    LatencyHistogram();

    /// Adds one latency in milliseconds.
    void add(double milliseconds);

    qint64 count() const { return m_count; }
    /// The given quantile of all latencies, in milliseconds; 0 if there are none. The result is
    /// the upper edge of a bin. Precondition: @p quantile in [0, 1].
    double quantile(double quantile) const;

    /// The histogram as metric @p name in the Prometheus text format, in seconds.
    QByteArray prometheusText(const QByteArray &name) const;

private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using Histogram = decltype(boost::histogram::make_histogram(Axis()));

    Histogram m_histogram;
    qint64 m_count = 0;
    double m_sum = 0;
};

} // namespace cranberry
