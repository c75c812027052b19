#pragma once

#include <QByteArray>

namespace cranberry {

struct AnswerMetrics;
struct DeliveryCounters;

/// One gauge in the Prometheus text format. Thread-safe.
QByteArray gaugeText(const QByteArray &name, qint64 value);

/// One counter in the Prometheus text format. Thread-safe.
QByteArray counterText(const QByteArray &name, qint64 value);

/// The metrics of answers and delivery in the text format of /metrics; @p running is the number
/// of runs. Thread-safe.
QByteArray metricsText(const AnswerMetrics &answers, const DeliveryCounters &delivery, int running);

} // namespace cranberry
