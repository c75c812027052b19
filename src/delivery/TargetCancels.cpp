#include "delivery/TargetCancels.h"

#include "http/HttpClient.h"

#include <QJsonDocument>
#include <QJsonObject>
#include <QUrl>

namespace cranberry {

namespace {

constexpr Milliseconds CancelTimeout{2000};
/// The answer is one object of some hundred bytes.
constexpr Bytes MaxAnswer{16 * 1024};

CancelOutcome outcomeOf(HttpExchangeEnd end, const HttpResponse &response,
                        Incarnation sentIncarnation)
{
    if (end != HttpExchangeEnd::Complete || response.status != 200)
        return CancelOutcome::NoAnswer;
    const QJsonObject answer = QJsonDocument::fromJson(response.body).object();
    const QJsonValue started = answer.value(QStringLiteral("started"));
    if (!started.isBool())
        return CancelOutcome::NoAnswer;
    if (started.toBool())
        return CancelOutcome::Started;
    const Incarnation incarnation(qint64(answer.value(QStringLiteral("incarnation")).toDouble()));
    const bool isSentIncarnation =
        sentIncarnation != Incarnation(0) && incarnation == sentIncarnation;
    return isSentIncarnation ? CancelOutcome::NotStarted : CancelOutcome::NoAnswer;
}

} // namespace

TargetCancels::TargetCancels(HttpClient &client)
    : m_client(client)
{
}

TargetCancels::~TargetCancels() = default;

void TargetCancels::cancel(const HttpEndpoint &endpoint, const AttemptId &attempt,
                           Incarnation sentIncarnation, Callback callback)
{
    HttpRequest request;
    request.method = "DELETE";
    request.path = "/generations/" + QUrl::toPercentEncoding(attempt.text());
    HttpExchangeOptions options;
    options.timeout = CancelTimeout;
    options.maxBody = MaxAnswer;
    const quint64 number = m_nextNumber++;
    m_exchanges[number] =
        m_client.fetch(endpoint, request, options,
                       [this, number, sentIncarnation, callback = std::move(callback)](
                           HttpExchangeEnd end, const HttpResponse &response) {
                           const auto exchange = std::move(m_exchanges[number]);
                           m_exchanges.erase(number);
                           callback(outcomeOf(end, response, sentIncarnation));
                       });
}

} // namespace cranberry
