#include "gateway/CallerHeaders.h"

#include "claims/ClaimKeyAge.h"
#include "claims/ClaimSettings.h"
#include "gateway/ArrivalTime.h"
#include "http/HttpRequest.h"

namespace cranberry {

namespace {

constexpr qsizetype MaxKeyBytes = 255;
constexpr qint64 MaxDeadlineMs = 24 * 60 * 60 * 1000;
constexpr qint64 MaxPriority = 9;

Error badHeader(const char *name, const QString &allowed, const QByteArray &value)
{
    return {ErrorKind::BadHeader,
            Ran::No,
            QStringLiteral("%1: expected %2, got \"%3\"")
                .arg(QLatin1String(name), allowed, QString::fromUtf8(value.left(80))),
            QString::fromLatin1(name),
            {}};
}

/// Parses an integer in [min, max]; empty if the header is absent.
Result<std::optional<qint64>> numberHeader(const HttpRequest &request, const char *name, qint64 min,
                                           qint64 max)
{
    if (!request.headers.contains(name))
        return std::optional<qint64>();
    const QByteArray value = request.headers.value(name);
    bool isNumber = false;
    const qint64 number = value.trimmed().toLongLong(&isNumber);
    if (!isNumber || number < min || number > max)
        return badHeader(name, QStringLiteral("%1..%2").arg(min).arg(max), value);
    return std::optional<qint64>(number);
}

Error keyRequired()
{
    return {ErrorKind::IdempotencyKeyRequired,
            Ran::No,
            QStringLiteral("send an Idempotency-Key, or Cranberry-Idempotent: yes if the request "
                           "may run twice"),
            QStringLiteral("Idempotency-Key"),
            {}};
}

} // namespace

Result<CallerHeaders> parseCallerHeaders(const HttpRequest &request)
{
    CallerHeaders headers;
    headers.idempotencyKey = request.headers.value("Idempotency-Key").trimmed();
    if (headers.idempotencyKey.size() > MaxKeyBytes)
        return badHeader("Idempotency-Key", QStringLiteral("at most 255 bytes"),
                         headers.idempotencyKey);
    if (request.headers.contains("Cranberry-Idempotent")) {
        const QByteArray value = request.headers.value("Cranberry-Idempotent").trimmed().toLower();
        if (value != "yes" && value != "no")
            return badHeader("Cranberry-Idempotent", QStringLiteral("yes or no"), value);
        headers.atMostOnce = value == "no";
    }
    const auto deadline = numberHeader(request, "Cranberry-Deadline-Ms", 1, MaxDeadlineMs);
    if (!deadline)
        return deadline.error();
    if (deadline.value())
        headers.deadline = Milliseconds(*deadline.value());
    const auto priority = numberHeader(request, "Cranberry-Priority", 0, MaxPriority);
    if (!priority)
        return priority.error();
    headers.priority = int(priority.value().value_or(0));
    return headers;
}

Result<void> checkAtMostOnceKey(const QByteArray &idempotencyKey, const ArrivalTime &arrival)
{
    if (idempotencyKey.isEmpty())
        return keyRequired();
    // The claim of a key beyond the retention may have been deleted, and a repeated request that
    // has already run would run a second time.
    const auto retention = ClaimSettings().retention;
    if (!isBeyondRetention(idempotencyKey, arrival.wallClockMs, retention))
        return outcome::success();
    return badHeader("Idempotency-Key",
                     QStringLiteral("a key created in the last %1 h").arg(retention.count()),
                     idempotencyKey);
}

} // namespace cranberry
