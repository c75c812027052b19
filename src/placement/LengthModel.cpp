#include "placement/LengthModel.h"

#include <algorithm>
#include <cmath>

namespace cranberry {

namespace {

namespace histogram = boost::histogram;

/// Samples that a group remembers; older ones fade.
constexpr float RememberedSamples = 400;
/// Samples of the wider group that a group starts from.
constexpr double BorrowedSamples = 12;
/// At 5,500 workspaces and 4 models 22,005 groups are in use.
constexpr qsizetype MostGroups = 32'768;

LengthHistogram emptyHistogram()
{
    return histogram::make_histogram_with(
        histogram::dense_storage<float>(),
        histogram::axis::regular<double, histogram::axis::transform::log,
                                 histogram::axis::null_type>(LengthBins, 1.0, LongestLength));
}

int binOf(const LengthHistogram &lengths, Tokens length)
{
    const int index = lengths.axis().index(double(std::max<qint64>(length.value(), 1)));
    return std::clamp(index, 0, LengthBins - 1);
}

/// Every order of magnitude is as likely as another until something is known.
constexpr double PriorMass = 1.0 / LengthBins;

std::array<LengthKey, 3> widening(const LengthKey &key)
{
    return {LengthKey{key.service, {}, {}}, LengthKey{key.service, key.model, {}}, key};
}

} // namespace

LengthModel::Group::Group()
    : histogram(emptyHistogram())
{
}

void LengthModel::finished(const LengthKey &key, Tokens length)
{
    static const LengthHistogram layout = emptyHistogram();
    Mass mass{};
    mass[size_t(binOf(layout, length))] = 1;
    add(key, mass);
}

// The sample's weight goes to the longer lengths in the proportion in which they are believed
// in ("redistribution to the right", Efron 1967).
void LengthModel::cutOff(const LengthKey &key, Tokens length)
{
    static const LengthHistogram layout = emptyHistogram();
    const auto reached = size_t(binOf(layout, length));
    Mass mass = blendedMass(key);
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
    constexpr float Kept = 1 - 1 / RememberedSamples;
    for (const LengthKey &each : widening(key)) {
        Group &group = m_groups[each];
        group.lastUsed = m_samples;
        group.weight = group.weight * Kept + 1;
        for (int i = 0; i < LengthBins; ++i) {
            float &bin = group.histogram.at(i);
            bin = bin * Kept + float(mass[size_t(i)]);
        }
    }
    if (m_groups.size() > MostGroups)
        sweep();
}

LengthModel::Mass LengthModel::blendedMass(const LengthKey &key) const
{
    Mass mass;
    mass.fill(PriorMass);
    for (const LengthKey &each : widening(key)) {
        const auto found = m_groups.constFind(each);
        if (found == m_groups.constEnd())
            return mass;
        const double total = double(found->weight) + BorrowedSamples;
        for (int i = 0; i < LengthBins; ++i) {
            double &part = mass[size_t(i)];
            part = (double(found->histogram.at(i)) + BorrowedSamples * part) / total;
        }
    }
    return mass;
}

LengthDistribution LengthModel::distribution(const LengthKey &key, Tokens maxTokens) const
{
    const Mass mass = blendedMass(key);
    LengthDistribution length;
    double alive = 1;
    const auto bound = double(maxTokens.value());
    for (int i = 0; i <= LengthBins; ++i) {
        const bool beyond = bound > 0 && lengthEdge(i) >= bound;
        length.survival[size_t(i)] = beyond ? 0 : std::max(alive, 0.0);
        if (i < LengthBins)
            alive -= mass[size_t(i)];
    }
    length.survival.front() = 1;
    length.survival.back() = 0;
    return length;
}

// Drops the half that was used longest ago: a workspace that comes back starts from the wider
// group again.
void LengthModel::sweep()
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

int LengthModel::groups() const
{
    return int(m_groups.size());
}

} // namespace cranberry
