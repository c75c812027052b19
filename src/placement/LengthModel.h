// Defines LengthModel, which learns how long answers are from those that ended.
#pragma once

#include "placement/LengthDistribution.h"
#include "placement/LengthKey.h"

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>

#include <QHash>

#include <tuple>
#include <vector>

namespace cranberry {

/// Lengths that end in each bin, decaying with each new sample.
using LengthHistogram = boost::histogram::histogram<
    std::tuple<boost::histogram::axis::regular<double, boost::histogram::axis::transform::log,
                                               boost::histogram::axis::null_type>>,
    boost::histogram::dense_storage<float>>;

/// A decayed histogram on a log axis for each workspace, model and service; a thin one leans
/// on the wider one above it.
/// Thread safety: none; it is guarded by the lock of whoever holds it.
class LengthModel
{
public:
    /// Learns the length of a finished answer.
    void finished(const LengthKey &key, Tokens length);

    /// Learns that an answer was cut off at @p length: it would have been longer. Dropping such
    /// answers would make the model believe in short ones.
    void cutOff(const LengthKey &key, Tokens length);

    /// The belief for a new answer of @p key that is cut at @p maxTokens.
    LengthDistribution distribution(const LengthKey &key, Tokens maxTokens) const;

    /// Histograms held; bounded.
    int groups() const;

private:
    struct Group {
        Group();
        LengthHistogram histogram;
        float weight = 0;
        quint64 lastUsed = 0;
    };
    using Mass = std::array<double, LengthBins>;

    void add(const LengthKey &key, const Mass &mass);
    Mass blendedMass(const LengthKey &key) const;
    void sweep();

    QHash<LengthKey, Group> m_groups;
    quint64 m_samples = 0;
};

} // namespace cranberry
