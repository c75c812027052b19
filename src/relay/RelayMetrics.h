#pragma once

#include <QByteArray>

namespace cranberry {

struct RelayParts;

/// Counters, gauges and histograms in the Prometheus text format, by kind of request and never by
/// workspace or key.
/// Precondition: called from the thread of the event loop.
QByteArray relayMetricsText(RelayParts &parts);

} // namespace cranberry
