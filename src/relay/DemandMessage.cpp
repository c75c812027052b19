#include "relay/DemandMessage.h"

#include <QCborArray>
#include <QCborValue>

#include <algorithm>
#include <cmath>

namespace cranberry {

namespace {

/// Limits of what is accepted from other daemons.
constexpr double MaxWork = 1e12;
constexpr qint64 MaxAgeMilliseconds = 3'600'000;

qint64 milliseconds(MonotonicTime::duration time)
{
    return std::chrono::duration_cast<Milliseconds>(time).count();
}

bool isWork(const QCborValue &value)
{
    const double work = value.toDouble(-1);
    return std::isfinite(work) && work >= 0 && work <= MaxWork;
}

bool isAge(const QCborValue &value)
{
    return value.isInteger() && value.toInteger() >= 0 && value.toInteger() <= MaxAgeMilliseconds;
}

bool isBelow(const QCborValue &value, qint64 bound)
{
    return value.isInteger() && value.toInteger() >= 0 && value.toInteger() < bound;
}

/// Whole numbers are half as long as others.
qint64 rounded(double work)
{
    return std::llround(std::ceil(work));
}

QCborArray encodeUsage(const QList<WorkspaceRate> &rates)
{
    QCborArray usage;
    for (const WorkspaceRate &rate : rates) {
        if (usage.size() < MaxReportedWorkspaces)
            usage.append(QCborArray{rate.workspace.text(), rounded(rate.workPerSecond)});
    }
    return usage;
}

std::optional<QList<WorkspaceRate>> decodeUsage(const QCborArray &rows)
{
    if (rows.size() > MaxReportedWorkspaces)
        return std::nullopt;
    QList<WorkspaceRate> rates;
    for (const QCborValue value : rows) {
        const QCborArray row = value.toArray();
        if (!row.at(0).isString() || !isWork(row.at(1)))
            return std::nullopt;
        rates.append({WorkspaceId(row.at(0).toString()), row.at(1).toDouble()});
    }
    return rates;
}

std::optional<DemandReport> decodeRateRow(const QCborArray &row)
{
    DemandReport report;
    report.service = ServiceId(row.at(0).toString());
    const QCborArray placed = row.at(1).toArray();
    const std::optional<QList<WorkspaceRate>> usage = decodeUsage(row.at(3).toArray());
    if (report.service.isEmpty() || placed.size() > MaxReportedLevels || !isWork(row.at(2))
        || !usage)
        return std::nullopt;
    for (const QCborValue value : placed) {
        const QCborArray rate = value.toArray();
        if (!isBelow(rate.at(0), UrgencyLevels) || !isWork(rate.at(1)))
            return std::nullopt;
        report.demand.placed.append(
            {int(rate.at(0).toInteger()), rate.at(1).toDouble(), rate.at(2).toBool()});
    }
    report.demand.placements = row.at(2).toDouble();
    report.usage = *usage;
    return report;
}

QCborArray encodeReport(const DemandReport &report, MonotonicTime now)
{
    QCborArray waiting;
    for (const WaitingWork &entry : report.demand.waiting) {
        if (waiting.size() < MaxWaitingEntries)
            waiting.append(QCborArray{entry.level, int(entry.returns), entry.requests,
                                      rounded(entry.work.room), rounded(entry.work.roomSeconds),
                                      milliseconds(now - entry.oldest), entry.isBrief});
    }
    return {report.service.text(), waiting, encodeUsage(report.usage)};
}

std::optional<DemandReport> decodeReport(const QCborArray &row, MonotonicTime now)
{
    DemandReport report;
    report.service = ServiceId(row.at(0).toString());
    const QCborArray waiting = row.at(1).toArray();
    const std::optional<QList<WorkspaceRate>> usage = decodeUsage(row.at(2).toArray());
    if (report.service.isEmpty() || waiting.size() > MaxWaitingEntries || !usage)
        return std::nullopt;
    for (const QCborValue value : waiting) {
        const QCborArray entry = value.toArray();
        const bool isValid = isBelow(entry.at(0), UrgencyLevels)
            && isBelow(entry.at(1), qint64(ReturnKindCount)) && isBelow(entry.at(2), 1'000'000)
            && isWork(entry.at(3)) && isWork(entry.at(4)) && isAge(entry.at(5));
        if (!isValid)
            return std::nullopt;
        report.demand.waiting.append({int(entry.at(0).toInteger()),
                                      ReturnKind(entry.at(1).toInteger()),
                                      int(entry.at(2).toInteger()),
                                      {entry.at(3).toDouble(), entry.at(4).toDouble()},
                                      now - Milliseconds(entry.at(5).toInteger()),
                                      entry.at(6).toBool()});
    }
    report.usage = *usage;
    report.demand.reportedAt = now;
    return report;
}

std::optional<ReturnPromise> decodePromise(const QCborArray &row, MonotonicTime now)
{
    const bool isValid = row.at(0).isInteger() && isAge(row.at(1)) && isAge(row.at(2))
        && isWork(row.at(3)) && row.at(4).isBool() && isBelow(row.at(5), UrgencyLevels);
    if (!isValid)
        return std::nullopt;
    ReturnPromise promise;
    promise.fingerprint = quint64(row.at(0).toInteger());
    promise.due = now + Milliseconds(row.at(1).toInteger());
    promise.callerTime = Milliseconds(row.at(2).toInteger());
    promise.roomSeconds = row.at(3).toDouble();
    promise.isFirm = row.at(4).toBool();
    promise.level = int(row.at(5).toInteger());
    return promise;
}

} // namespace

QCborArray encodeDemand(const DemandMessage &message, MonotonicTime now)
{
    QCborArray reports;
    for (const DemandReport &report : message.reports) {
        if (reports.size() < MaxReports)
            reports.append(encodeReport(report, now));
    }
    QCborArray promises;
    for (const ReturnPromise &promise : message.promises) {
        if (promises.size() < MaxPromisesInMessage)
            promises.append(QCborArray{
                qint64(promise.fingerprint),
                std::clamp<qint64>(milliseconds(promise.due - now), 0, MaxAgeMilliseconds),
                std::clamp<qint64>(promise.callerTime.count(), 0, MaxAgeMilliseconds),
                promise.roomSeconds, promise.isFirm, promise.level});
    }
    return {reports, promises, message.service.text()};
}

std::optional<DemandMessage> decodeDemand(const QCborArray &body, MonotonicTime now)
{
    const QCborArray reports = body.at(0).toArray();
    const QCborArray promises = body.at(1).toArray();
    if (!body.at(0).isArray() || !body.at(1).isArray() || reports.size() > MaxReports
        || promises.size() > MaxPromisesInMessage)
        return std::nullopt;
    DemandMessage message;
    message.service = ServiceId(body.at(2).toString());
    for (const QCborValue row : reports) {
        const std::optional<DemandReport> report = decodeReport(row.toArray(), now);
        if (!report)
            return std::nullopt;
        message.reports.append(*report);
    }
    for (const QCborValue row : promises) {
        const std::optional<ReturnPromise> promise = decodePromise(row.toArray(), now);
        if (!promise)
            return std::nullopt;
        message.promises.append(*promise);
    }
    return message;
}

QCborArray encodeRates(const QList<DemandReport> &reports)
{
    QCborArray rows;
    for (const DemandReport &report : reports) {
        if (rows.size() >= MaxReports)
            break;
        QCborArray placed;
        for (const LevelRate &rate : report.demand.placed) {
            if (placed.size() < MaxReportedLevels)
                placed.append(QCborArray{rate.level, rate.perSecond, rate.isBrief});
        }
        rows.append(QCborArray{report.service.text(), placed, rounded(report.demand.placements),
                               encodeUsage(report.usage)});
    }
    return rows;
}

QList<DemandReport> decodeRates(const QCborArray &rows)
{
    QList<DemandReport> reports;
    for (const QCborValue row : rows) {
        const std::optional<DemandReport> report = decodeRateRow(row.toArray());
        if (reports.size() < MaxReports && report)
            reports.append(*report);
    }
    return reports;
}

} // namespace cranberry
