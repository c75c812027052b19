#include "placement/LengthModel.h"

#include <algorithm>
#include <cmath>

namespace cranberry {

namespace {

namespace histogram = boost::histogram;

/// Time constant of the exponential decay, in samples of a group.
constexpr float DecaySamples = 400;
/// Weight of the next wider group as a prior, in samples.
constexpr double PriorSamples = 12;
/// Bounds memory. 5,500 workspaces with 4 models need 22,005 groups.
constexpr qsizetype MaxGroups = 32'768;

LengthHistogram emptyHistogram()
{
    return histogram::make_histogram_with(
        histogram::dense_storage<float>(),
        histogram::axis::regular<double, histogram::axis::transform::log,
                                 histogram::axis::null_type>(LengthBinCount, 1.0, MaxLengthTokens));
}

int binIndex(const LengthHistogram &lengths, Tokens length)
{
    const int index = lengths.axis().index(double(std::max<qint64>(length.value(), 1)));
    return std::clamp(index, 0, LengthBinCount - 1);
}

/// Prior of the widest group: each bin, and so each order of magnitude, is equally likely.
constexpr double UniformBinMass = 1.0 / LengthBinCount;

std::array<LengthKey, 3> keyHierarchy(const LengthKey &key)
{
    return {LengthKey{key.service, {}, {}}, LengthKey{key.service, key.model, {}}, key};
}

} // namespace

LengthModel::Group::Group()
    : histogram(emptyHistogram())
{
}

void LengthModel::addCompleted(const LengthKey &key, Tokens length)
{
    static const LengthHistogram layout = emptyHistogram();
    Mass mass{};
    mass[size_t(binIndex(layout, length))] = 1;
    add(key, mass);
}

// Distributes the weight of the sample over the bins at and above @p length in proportion to their
// predicted mass ("redistribution to the right", Efron 1967).
void LengthModel::addCensored(const LengthKey &key, Tokens length)
{
    static const LengthHistogram layout = emptyHistogram();
    const auto reached = size_t(binIndex(layout, length));
    Mass mass = smoothedMass(key);
    std::fill(mass.begin(), mass.begin() + qsizetype(reached), 0.0);
    double sum = 0;
    for (const double part : mass)
        sum += part;
    if (sum <= 0)
        return;
    for (double &part : mass)
        part /= sum;
    add(key, mass);
}

void LengthModel::add(const LengthKey &key, const Mass &mass)
{
    ++m_samples;
    constexpr float DecayFactor = 1 - 1 / DecaySamples;
    for (const LengthKey &each : keyHierarchy(key)) {
        Group &group = m_groups[each];
        group.lastUsed = m_samples;
        group.weight = group.weight * DecayFactor + 1;
        for (int i = 0; i < LengthBinCount; ++i) {
            float &bin = group.histogram.at(i);
            bin = bin * DecayFactor + float(mass[size_t(i)]);
        }
    }
    if (m_groups.size() > MaxGroups)
        evictLeastRecent();
}

LengthModel::Mass LengthModel::smoothedMass(const LengthKey &key) const
{
    Mass mass;
    mass.fill(UniformBinMass);
    for (const LengthKey &each : keyHierarchy(key)) {
        const auto found = m_groups.constFind(each);
        if (found == m_groups.constEnd())
            return mass;
        const double total = double(found->weight) + PriorSamples;
        for (int i = 0; i < LengthBinCount; ++i) {
            double &part = mass[size_t(i)];
            part = (double(found->histogram.at(i)) + PriorSamples * part) / total;
        }
    }
    return mass;
}

LengthDistribution LengthModel::distribution(const LengthKey &key, Tokens maxTokens) const
{
    const Mass mass = smoothedMass(key);
    LengthDistribution length;
    double surviving = 1;
    const auto bound = double(maxTokens.value());
    for (int i = 0; i <= LengthBinCount; ++i) {
        const bool beyond = bound > 0 && lengthEdge(i) >= bound;
        length.survival[size_t(i)] = beyond ? 0 : std::max(surviving, 0.0);
        if (i < LengthBinCount)
            surviving -= mass[size_t(i)];
    }
    length.survival.front() = 1;
    length.survival.back() = 0;
    return length;
}

// Drops the least recently used half of the groups. A workspace that returns starts from the wider
// group again.
void LengthModel::evictLeastRecent()
{
    std::vector<quint64> used;
    used.reserve(size_t(m_groups.size()));
    for (const Group &group : std::as_const(m_groups))
        used.push_back(group.lastUsed);
    const auto middle = used.begin() + qsizetype(used.size() / 2);
    std::nth_element(used.begin(), middle, used.end());
    const quint64 oldest = *middle;
    m_groups.removeIf([&](const auto &entry) { return entry.value().lastUsed < oldest; });
}

int LengthModel::groupCount() const
{
    return int(m_groups.size());
}

} // namespace cranberry
