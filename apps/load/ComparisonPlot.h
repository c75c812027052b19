// Defines the plot of a comparison of policies.
#pragma once

#include "load/PolicyComparison.h"

#include <QByteArray>

namespace cranberry::load {

/// An SVG picture: the share of gaps between tokens that are longer than a time, both axes
/// logarithmic, one line a policy; beside it the stall time of each policy. Thread-safe.
QByteArray comparisonSvg(const PolicyComparison &comparison, const QString &title);

} // namespace cranberry::load
