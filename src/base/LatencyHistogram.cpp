#include "base/LatencyHistogram.h"

namespace cranberry {

namespace {

constexpr unsigned BinCount = 280;
constexpr double MinMs = 0.1;
constexpr double MaxMs = 1'000'000;
/// Bins per exported Prometheus bucket: the resulting 28 buckets are enough for a plot.
constexpr int BinsPerBucket = 10;

} // namespace

LatencyHistogram::LatencyHistogram()
    : m_histogram(boost::histogram::make_histogram(Axis(BinCount, MinMs, MaxMs)))
{
}

void LatencyHistogram::add(double milliseconds)
{
    m_histogram(std::max(milliseconds, MinMs));
    m_sum += milliseconds;
    ++m_count;
}

double LatencyHistogram::quantile(double quantile) const
{
    const double rank = quantile * double(m_count);
    double cumulativeCount = 0;
    for (int bin = 0; bin < int(BinCount); ++bin) {
        cumulativeCount += double(m_histogram.at(bin));
        if (cumulativeCount >= rank && cumulativeCount > 0)
            return m_histogram.axis().bin(bin).upper();
    }
    return m_count > 0 ? MaxMs : 0;
}

QByteArray LatencyHistogram::prometheusText(const QByteArray &name) const
{
    QByteArray text = "# TYPE " + name + " histogram\n";
    double cumulativeCount = 0;
    for (int bin = 0; bin < int(BinCount); ++bin) {
        cumulativeCount += double(m_histogram.at(bin));
        if ((bin + 1) % BinsPerBucket != 0)
            continue;
        const double upperSeconds = m_histogram.axis().bin(bin).upper() / 1000;
        text += name + "_bucket{le=\"" + QByteArray::number(upperSeconds, 'g', 4) + "\"} "
            + QByteArray::number(qint64(cumulativeCount)) + '\n';
    }
    text += name + "_bucket{le=\"+Inf\"} " + QByteArray::number(m_count) + '\n';
    text += name + "_sum " + QByteArray::number(m_sum / 1000, 'g', 10) + '\n';
    return text + name + "_count " + QByteArray::number(m_count) + '\n';
}

} // namespace cranberry
