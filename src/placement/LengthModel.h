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

/// Decayed number of answers whose length falls into each bin.
using LengthHistogram = boost::histogram::histogram<
    std::tuple<boost::histogram::axis::regular<double, boost::histogram::axis::transform::log,
                                               boost::histogram::axis::null_type>>,
    boost::histogram::dense_storage<float>>;

/// Estimates answer lengths from answers that have ended. Keeps one exponentially decayed histogram
/// with logarithmic bins for each service, for each model and for each workspace. A group with few
/// samples is smoothed with the next wider group.
/// Thread safety: none; the owner guards it with its lock.
class LengthModel
{
public:
    /// Adds the length of a completed answer.
    void addCompleted(const LengthKey &key, Tokens length);

    /// Adds a right-censored sample: an answer that was interrupted at @p length and would have
    /// been longer. Discarding such answers would bias the model towards short ones.
    void addCensored(const LengthKey &key, Tokens length);

    /// The predicted length distribution of a new answer of @p key that is limited to @p maxTokens.
    LengthDistribution distribution(const LengthKey &key, Tokens maxTokens) const;

    /// Number of histograms in memory; bounded.
    int groupCount() const;

private:
    struct Group {
        Group();
        LengthHistogram histogram;
        float weight = 0;
        quint64 lastUsed = 0;
    };
    using Mass = std::array<double, LengthBinCount>;

    void add(const LengthKey &key, const Mass &mass);
    Mass smoothedMass(const LengthKey &key) const;
    void evictLeastRecent();

    QHash<LengthKey, Group> m_groups;
    quint64 m_samples = 0;
};

} // namespace cranberry
