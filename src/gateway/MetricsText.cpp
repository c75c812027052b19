#include "gateway/MetricsText.h"

#include "delivery/DeliveryContext.h"
#include "gateway/AnswerMetrics.h"

namespace cranberry {

QByteArray gaugeText(const QByteArray &name, qint64 value)
{
    return "# TYPE " + name + " gauge\n" + name + ' ' + QByteArray::number(value) + '\n';
}

QByteArray counterText(const QByteArray &name, qint64 value)
{
    return "# TYPE " + name + " counter\n" + name + ' ' + QByteArray::number(value) + '\n';
}

QByteArray metricsText(const AnswerMetrics &answers, const DeliveryCounters &delivery, int running)
{
    QByteArray text = gaugeText("cranberry_runs", running);
    text += counterText("cranberry_answers_whole_total", answers.completed);
    text += "# TYPE cranberry_answers_failed_total counter\n";
    for (std::size_t i = 0; i < ErrorKindCount; ++i) {
        text += "cranberry_answers_failed_total{kind=\""
            + QByteArray(errorAnswer(ErrorKind(i)).name) + "\"} "
            + QByteArray::number(answers.failedByKind[i]) + '\n';
    }
    text += counterText("cranberry_tokens_delivered_total", delivery.tokensDelivered);
    text += counterText("cranberry_tokens_dropped_total", delivery.tokensDropped);
    text += counterText("cranberry_attempts_sent_total", delivery.attemptsSent);
    text += counterText("cranberry_retries_total", delivery.retries);
    text += counterText("cranberry_resumes_total", delivery.resumes);
    text += counterText("cranberry_generations_lost_total", delivery.generationsLost);
    text += answers.timeToFirstToken.prometheusText("cranberry_first_token_seconds");
    return text + answers.interTokenLatency.prometheusText("cranberry_between_tokens_seconds");
}

} // namespace cranberry
