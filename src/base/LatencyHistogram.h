// Defines LatencyHistogram, a distribution of times with bounded memory.
#pragma once

#include "base/Units.h"

#include <QByteArray>

#include <boost/histogram.hpp>

namespace cranberry {

/// Times on a logarithmic axis from 0.1 ms to 1000 s.
/// Thread safety: none; guard it or keep it in one thread.
class LatencyHistogram
{
public:
    LatencyHistogram();

    /// Adds one time in milliseconds.
    void add(double milliseconds);

    qint64 count() const { return m_count; }
    /// The time below which the share @p quantile of all times lies, in milliseconds; 0 if
    /// there are none. Precondition: @p quantile in [0, 1].
    double quantile(double quantile) const;

    /// The distribution in Prometheus' text format under @p name, in seconds.
    QByteArray prometheusText(const QByteArray &name) const;

private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using Histogram = decltype(boost::histogram::make_histogram(Axis()));

    Histogram m_histogram;
    qint64 m_count = 0;
    double m_sum = 0;
};

} // namespace cranberry
