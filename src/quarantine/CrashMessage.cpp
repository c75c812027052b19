#include "quarantine/CrashMessage.h"

#include "quarantine/CrashRules.h"

namespace cranberry {

namespace {

constexpr qsizetype FingerprintBytes = 16;
constexpr qsizetype MaxNameLength = 255;
/// One day; bounds what a malformed message can claim.
constexpr qint64 MaxAgeMs = 86'400'000;

QCborArray encodeRun(const CrashSuspicion &run, MonotonicTime now)
{
    const auto age = std::chrono::duration_cast<Milliseconds>(now - run.changedAt);
    return QCborArray{run.id.value(),
                      run.daemon.text(),
                      run.target.text(),
                      int(run.state),
                      qint64(std::max(age, Milliseconds(0)).count()),
                      int(run.trial)};
}

std::optional<CrashSuspicion> decodeRun(const QCborArray &body, MonotonicTime now)
{
    const qint64 state = body.at(3).toInteger(-1);
    const qint64 age = body.at(4).toInteger(-1);
    const qint64 trial = body.at(5).toInteger(0);
    const QString daemon = body.at(1).toString();
    const QString target = body.at(2).toString();
    const bool isValid = body.at(0).isInteger() && state >= 0
        && state <= qint64(SuspicionState::Withdrawn) && age >= 0 && age <= MaxAgeMs && trial >= 0
        && trial <= qint64(TrialKind::Joint) && !daemon.isEmpty() && daemon.size() <= MaxNameLength
        && target.size() <= MaxNameLength;
    if (!isValid)
        return std::nullopt;
    CrashSuspicion run;
    run.id = SuspicionId(body.at(0).toInteger());
    run.daemon = VmId(daemon);
    run.target = TargetId(target);
    run.state = SuspicionState(state);
    run.changedAt = now - Milliseconds(age);
    run.trial = TrialKind(trial);
    return run;
}

QCborArray encodeRecord(const CrashRecord &record, MonotonicTime now)
{
    QCborArray runs;
    for (const CrashSuspicion &run : record.suspicions)
        runs.append(encodeRun(run, now));
    QCborArray completions;
    for (auto entry = record.completions.begin(); entry != record.completions.end(); ++entry)
        completions.append(QCborArray{entry.key().text(), entry.value()});
    return QCborArray{QByteArray::fromHex(record.key.fingerprint.text().toLatin1()),
                      record.key.workspace.text(), runs, completions, record.key.part};
}

std::optional<CrashRecord> decodeRecord(const QCborArray &body, MonotonicTime now)
{
    const QByteArray fingerprint = body.at(0).toByteArray();
    const QString workspace = body.at(1).toString();
    const QCborArray runs = body.at(2).toArray();
    const QCborArray completions = body.at(3).toArray();
    const QString part = body.at(4).toString();
    if (fingerprint.size() != FingerprintBytes || workspace.size() > MaxNameLength
        || part.size() > MaxNameLength || runs.size() > MaxRunsPerRecord
        || completions.size() > MaxDaemonsPerRecord)
        return std::nullopt;
    CrashRecord record;
    record.key.fingerprint = RequestFingerprint(QString::fromLatin1(fingerprint.toHex()));
    record.key.part = part;
    record.key.workspace = WorkspaceId(workspace);
    for (const QCborValue value : runs) {
        const std::optional<CrashSuspicion> run = decodeRun(value.toArray(), now);
        if (!run)
            return std::nullopt;
        record.suspicions.append(*run);
    }
    for (const QCborValue value : completions) {
        const QCborArray entry = value.toArray();
        const QString daemon = entry.at(0).toString();
        const qint64 count = entry.at(1).toInteger(-1);
        if (daemon.isEmpty() || daemon.size() > MaxNameLength || count < 0
            || count > MaxCompletionsPerDaemon)
            return std::nullopt;
        record.completions.insert(VmId(daemon), int(count));
    }
    return record;
}

} // namespace

QCborArray crashMessageToCbor(const CrashMessage &message, MonotonicTime now)
{
    QCborArray records;
    for (const CrashRecord &record : message.records)
        records.append(encodeRecord(record, now));
    return QCborArray{int(message.kind), message.id.value(), qint64(message.digest), records};
}

std::optional<CrashMessage> crashMessageFromCbor(const QCborArray &body, MonotonicTime now)
{
    const qint64 kind = body.at(0).toInteger(-1);
    const QCborArray records = body.at(3).toArray();
    const bool isValid = kind >= 0 && kind <= qint64(CrashMessageKind::PullAnswer)
        && body.at(1).isInteger() && body.at(2).isInteger()
        && records.size() <= MaxRecordsPerMessage;
    if (!isValid)
        return std::nullopt;
    CrashMessage message;
    message.kind = CrashMessageKind(kind);
    message.id = SuspicionId(body.at(1).toInteger());
    message.digest = quint64(body.at(2).toInteger());
    for (const QCborValue value : records) {
        const std::optional<CrashRecord> record = decodeRecord(value.toArray(), now);
        if (!record)
            return std::nullopt;
        message.records.append(*record);
    }
    const bool namesRecord = message.kind == CrashMessageKind::Ask
        || message.kind == CrashMessageKind::Grant || message.kind == CrashMessageKind::Refuse;
    if (namesRecord && message.records.size() != 1)
        return std::nullopt;
    return message;
}

} // namespace cranberry
