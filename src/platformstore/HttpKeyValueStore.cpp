#include "platformstore/HttpKeyValueStore.h"

#include "base/TimerService.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <QStringDecoder>
#include <QUrl>

namespace cranberry {

namespace {

constexpr int StatusOk = 200;
constexpr int StatusNotFound = 404;
constexpr int StatusConflict = 412;
/// Added to the timeout of GET requests to allow for transferring large responses.
constexpr Milliseconds TransferAllowance{10'000};

Error platformUnavailable(const QString &detail)
{
    Error error;
    error.kind = ErrorKind::PlatformUnavailable;
    error.detail = detail;
    return error;
}

Error unexpectedAnswer(HttpExchangeEnd end, const HttpResponse &response)
{
    if (end != HttpExchangeEnd::Complete)
        return platformUnavailable(QStringLiteral("the platform's service did not answer"));
    return platformUnavailable(
        QStringLiteral("the platform's service answered with status %1").arg(response.status));
}

QByteArray keyPath(const QString &key)
{
    return "/kv/" + QUrl::toPercentEncoding(key, "/");
}

QUrlQuery prefixQuery(const QString &prefix)
{
    QUrlQuery query;
    query.addQueryItem("prefix", QString::fromLatin1(QUrl::toPercentEncoding(prefix)));
    return query;
}

QJsonObject parsedObject(const HttpResponse &response)
{
    return QJsonDocument::fromJson(response.body).object();
}

KeyValue toKeyValue(const QJsonObject &object)
{
    return {object["key"].toString(), object["value"].toString().toUtf8(),
            Revision(object["revision"].toInteger())};
}

Result<KeyValue> readResult(const QString &key, HttpExchangeEnd end, const HttpResponse &response)
{
    const bool isComplete = end == HttpExchangeEnd::Complete;
    if (isComplete && response.status == StatusNotFound)
        return KeyValue{key, {}, Revision(0)};
    const QJsonObject object = parsedObject(response);
    if (!isComplete || response.status != StatusOk || !object["revision"].isDouble())
        return unexpectedAnswer(end, response);
    return toKeyValue(object);
}

Result<QList<KeyValue>> listResult(HttpExchangeEnd end, const HttpResponse &response)
{
    const QJsonObject object = parsedObject(response);
    if (end != HttpExchangeEnd::Complete || response.status != StatusOk
        || !object["entries"].isArray())
        return unexpectedAnswer(end, response);
    QList<KeyValue> entries;
    const QJsonArray array = object["entries"].toArray();
    for (const auto &entry : array)
        entries.append(toKeyValue(entry.toObject()));
    return entries;
}

// A write without an answer from the service may have taken effect or may still do so: the
// connection was lost or the call timed out after bytes were sent, or an intermediary answered in
// place of the service (5xx). Only if no byte was sent, or the service itself refused the write
// (4xx), is it certain that nothing was written.
SwapResult swapResult(HttpExchangeEnd end, const HttpResponse &response)
{
    if (end == HttpExchangeEnd::NotConnected)
        return {SwapOutcome::NotWritten, Revision(0)};
    if (end != HttpExchangeEnd::Complete)
        return {SwapOutcome::Unknown, Revision(0)};
    const QJsonValue revision = parsedObject(response)["revision"];
    if (response.status == StatusOk && revision.isDouble())
        return {SwapOutcome::Swapped, Revision(revision.toInteger())};
    if (response.status == StatusConflict)
        return {SwapOutcome::Conflict, Revision(revision.toInteger())};
    const bool isRefused = response.status >= 400 && response.status < 500;
    return {isRefused ? SwapOutcome::NotWritten : SwapOutcome::Unknown, Revision(0)};
}

Result<LeaseId> leaseResult(HttpExchangeEnd end, const HttpResponse &response)
{
    if (end == HttpExchangeEnd::Complete && response.status == StatusNotFound) {
        Error error;
        error.kind = ErrorKind::OutcomeUnknown;
        error.detail = QStringLiteral("the lease has expired");
        return error;
    }
    const QJsonValue lease = parsedObject(response)["lease"];
    if (end != HttpExchangeEnd::Complete || response.status != StatusOk || !lease.isDouble())
        return unexpectedAnswer(end, response);
    return LeaseId(lease.toInteger());
}

Result<QList<ListedVm>> vmsResult(HttpExchangeEnd end, const HttpResponse &response)
{
    const QJsonObject object = parsedObject(response);
    if (end != HttpExchangeEnd::Complete || response.status != StatusOk || !object["vms"].isArray())
        return unexpectedAnswer(end, response);
    QList<ListedVm> vms;
    const QJsonArray array = object["vms"].toArray();
    for (const auto &value : array) {
        const QJsonObject vm = value.toObject();
        vms.append({vm["vm"].toString(), vm["data_centre"].toString(), vm["address"].toString(),
                    static_cast<quint16>(vm["peer_port"].toInt()), vm["leaving"].toBool()});
    }
    return vms;
}

bool isUtf8(const QByteArray &value)
{
    QStringDecoder decoder(QStringDecoder::Utf8);
    const QString text = decoder(value);
    return !decoder.hasError() && text.toUtf8() == value;
}

} // namespace

HttpKeyValueStore::HttpKeyValueStore(TimerService &timers, HttpEndpoint endpoint,
                                     Milliseconds timeout)
    : m_endpoint(std::move(endpoint))
    , m_timeout(timeout)
    , m_client(timers)
{
}

HttpKeyValueStore::~HttpKeyValueStore() = default;

void HttpKeyValueStore::call(const HttpRequest &request, Milliseconds timeout,
                             AnswerCallback callback)
{
    const qint64 id = ++m_lastCallId;
    HttpExchangeOptions options;
    options.stallTimeout = timeout;
    // Only responses to GET requests can be large; other calls keep the timeout as a total limit.
    options.timeout = request.method == "GET" ? timeout + TransferAllowance : timeout;
    options.connectTimeout = m_timeout;
    options.reuseConnection = true;
    m_calls[id].callback = std::move(callback);
    // Queued because an exchange on a reused connection may end before fetch() returns.
    m_calls[id].exchange = m_client.fetch(
        m_endpoint, request, options,
        [this, id](HttpExchangeEnd end, const HttpResponse &response) {
            QMetaObject::invokeMethod(
                &m_context, [=] { finishCall(id, end, response); }, Qt::QueuedConnection);
        });
}

void HttpKeyValueStore::finishCall(qint64 id, HttpExchangeEnd end, const HttpResponse &response)
{
    const AnswerCallback callback = std::move(m_calls.at(id).callback);
    m_calls.erase(id);
    callback(end, response);
}

void HttpKeyValueStore::read(const QString &key, ReadCallback callback)
{
    call({"GET", keyPath(key), {}, {}, {}}, m_timeout,
         [key, callback = std::move(callback)](auto end, const HttpResponse &response) {
             callback(readResult(key, end, response));
         });
}

void HttpKeyValueStore::list(const QString &prefix, ListCallback callback)
{
    call({"GET", "/kv", prefixQuery(prefix), {}, {}}, m_timeout,
         [callback = std::move(callback)](auto end, const HttpResponse &response) {
             callback(listResult(end, response));
         });
}

void HttpKeyValueStore::compareAndSwap(const QString &key, Revision expected,
                                       const QByteArray &value, std::optional<LeaseId> lease,
                                       SwapCallback callback)
{
    if (!isUtf8(value)) {
        QMetaObject::invokeMethod(
            &m_context, [callback = std::move(callback)] { callback(SwapResult()); },
            Qt::QueuedConnection);
        return;
    }
    HttpHeaders headers{{"If-Match", QByteArray::number(expected.value())},
                        {"Content-Type", "application/json"}};
    if (lease)
        headers.add("Lease", QByteArray::number(lease->value()));
    const QJsonObject body{{"value", QString::fromUtf8(value)}};
    call({"PUT", keyPath(key), {}, headers, QJsonDocument(body).toJson(QJsonDocument::Compact)},
         m_timeout, [callback = std::move(callback)](auto end, const HttpResponse &response) {
             callback(swapResult(end, response));
         });
}

void HttpKeyValueStore::remove(const QString &key, Revision expected, SwapCallback callback)
{
    const HttpHeaders headers{{"If-Match", QByteArray::number(expected.value())}};
    call({"DELETE", keyPath(key), {}, headers, {}}, m_timeout,
         [callback = std::move(callback)](auto end, const HttpResponse &response) {
             callback(swapResult(end, response));
         });
}

void HttpKeyValueStore::watch(const QString &prefix, Revision after, Milliseconds timeout,
                              ListCallback callback)
{
    QUrlQuery query = prefixQuery(prefix);
    query.addQueryItem("after", QString::number(after.value()));
    query.addQueryItem("wait_ms", QString::number(timeout.count()));
    call({"GET", "/kv", query, {}, {}}, m_timeout + timeout,
         [callback = std::move(callback)](auto end, const HttpResponse &response) {
             callback(listResult(end, response));
         });
}

void HttpKeyValueStore::grantLease(Milliseconds duration, LeaseCallback callback)
{
    const QJsonObject body{{"ttl_ms", qint64(duration.count())}};
    call({"POST", "/leases", {}, {}, QJsonDocument(body).toJson(QJsonDocument::Compact)}, m_timeout,
         [callback = std::move(callback)](auto end, const HttpResponse &response) {
             callback(leaseResult(end, response));
         });
}

void HttpKeyValueStore::renewLease(LeaseId lease, LeaseCallback callback)
{
    const QByteArray path = "/leases/" + QByteArray::number(lease.value()) + "/renew";
    call({"POST", path, {}, {}, {}}, m_timeout,
         [callback = std::move(callback)](auto end, const HttpResponse &response) {
             callback(leaseResult(end, response));
         });
}

void HttpKeyValueStore::listVms(VmsCallback callback)
{
    call({"GET", "/vms", {}, {}, {}}, m_timeout,
         [callback = std::move(callback)](auto end, const HttpResponse &response) {
             callback(vmsResult(end, response));
         });
}

} // namespace cranberry
