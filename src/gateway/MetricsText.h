// Defines the text of /metrics for what callers experienced.
#pragma once

#include <QByteArray>

namespace cranberry {

struct AnswerMetrics;
struct DeliveryCounters;

/// One gauge in Prometheus' text format. Thread-safe.
QByteArray gaugeText(const QByteArray &name, qint64 value);

/// One counter in Prometheus' text format. Thread-safe.
QByteArray counterText(const QByteArray &name, qint64 value);

/// The answers' and deliveries' metrics. Thread-safe.
QByteArray metricsText(const AnswerMetrics &answers, const DeliveryCounters &delivery, int running);

} // namespace cranberry
