#pragma once

#include "load/PolicyComparison.h"

#include <QByteArray>

namespace cranberry::load {

/// Draws an SVG chart with one curve per policy: the share of gaps between tokens that are longer
/// than a given time, on logarithmic axes. Bars beside it show the stall time of each policy.
/// Thread-safe.
QByteArray comparisonSvg(const PolicyComparison &comparison, const QString &title);

} // namespace cranberry::load
