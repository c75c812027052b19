#include "relay/RelaySettings.h"

#include "base/MachineMemory.h"
#include "daemon/SettingsReader.h"
#include "relay/SettingsReading.h"

#include <QHostAddress>
#include <QJsonDocument>
#include <QJsonObject>

#include <algorithm>
#include <sys/resource.h>

namespace cranberry {

namespace {

constexpr double MaxSlack = 1e6;
constexpr double MinWeight = 0.01;
constexpr double MaxWeight = 100;
constexpr qint64 MaxAnswerBytes = 1024 * 1024 * 1024;
constexpr int MinDescriptors = 64;
constexpr int MaxDescriptors = 1024 * 1024;
constexpr double BytesPerMegabyte = 1024 * 1024;
constexpr double MinMemoryMegabytes = 16;
constexpr double MaxMemoryMegabytes = 1024 * 1024;
constexpr qint64 CallerMemoryFraction = 4;

HttpEndpoint readAddress(SettingsReader &reader, const QString &name)
{
    const QStringList parts = reader.requiredString(name).split(u':');
    bool isPort = false;
    const quint16 port = parts.last().toUShort(&isPort);
    if (parts.size() != 2 || !isPort || QHostAddress(parts.first()).isNull())
        reader.fatalFault(name, QStringLiteral("\"ADDRESS:PORT\" with an IP number"));
    return {parts.first(), port};
}

/// Rounds down, so that no time limit is exceeded by a fraction of a millisecond.
Milliseconds readDuration(SettingsReader &reader, const QString &name, Milliseconds fallback)
{
    return reader.duration(name, DurationRounding::Down, fallback);
}

Bytes readMemory(SettingsReader &reader, Bytes fallback)
{
    const double megabytes =
        reader.decimal(QStringLiteral("memory_mb"), MinMemoryMegabytes, MaxMemoryMegabytes,
                       double(fallback.value()) / BytesPerMegabyte);
    return Bytes(qint64(megabytes * BytesPerMegabyte));
}

RetryLimits readRetries(SettingsReader reader)
{
    RetryLimits limits;
    limits.ratio = reader.decimal(QStringLiteral("ratio"), 0, 1, limits.ratio);
    limits.slack = reader.decimal(QStringLiteral("slack"), 0, MaxSlack, limits.slack);
    // A longer window allows fewer retries.
    limits.window =
        reader.duration(QStringLiteral("window_ms"), DurationRounding::Up, limits.window);
    return limits;
}

AdmissionSettings readAdmission(SettingsReader reader, const QJsonObject &weights)
{
    AdmissionSettings admission;
    admission.order = reader.flag(QStringLiteral("order"), admission.order);
    admission.earlyRejection =
        reader.flag(QStringLiteral("early_rejection"), admission.earlyRejection);
    admission.workspaceShares =
        reader.flag(QStringLiteral("workspace_shares"), admission.workspaceShares);
    admission.observedSpeed =
        reader.flag(QStringLiteral("observed_speed"), admission.observedSpeed);
    SettingsReader weightReader = reader.object(QStringLiteral("workspace_weights"));
    // Requests without a workspace have no share that a weight could change.
    if (weights.contains(QString()))
        reader.fault(QStringLiteral("workspace_weights"),
                     QStringLiteral("non-empty names of workspaces"));
    for (auto entry = weights.begin(); entry != weights.end(); ++entry)
        admission.weights.insert(WorkspaceId(entry.key()),
                                 weightReader.decimal(entry.key(), MinWeight, MaxWeight, 1));
    return admission;
}

StalenessBounds readBounds(SettingsReader &reader)
{
    StalenessBounds bounds;
    bounds.configuration =
        readDuration(reader, QStringLiteral("configuration_apply_ms"), bounds.configuration);
    bounds.configuration =
        std::min(bounds.configuration,
                 readDuration(reader, QStringLiteral("evacuation_ms"), bounds.configuration));
    bounds.targets = readDuration(reader, QStringLiteral("target_drain_ms"), bounds.targets);
    return bounds;
}

} // namespace

Bytes defaultMemory()
{
    return machineMemory().value_or(Bytes(qint64(MaxMemoryMegabytes * BytesPerMegabyte)));
}

Bytes callerMemoryCapacity(Bytes memory)
{
    return Bytes(memory.value() / CallerMemoryFraction);
}

int descriptorLimit()
{
    rlimit limits{};
    if (::getrlimit(RLIMIT_NOFILE, &limits) != 0)
        return MinDescriptors;
    return int(std::clamp<rlim_t>(limits.rlim_cur, MinDescriptors, MaxDescriptors));
}

SettingsReading readRelaySettings(const QByteArray &json)
{
    QJsonParseError fault;
    const QJsonDocument document = QJsonDocument::fromJson(json, &fault);
    if (fault.error != QJsonParseError::NoError || !document.isObject()) {
        const QString text = QStringLiteral("settings: not a JSON object (byte %1: %2)")
                                 .arg(fault.offset)
                                 .arg(fault.errorString());
        return {{}, {{text, {}, true}}};
    }
    SettingsFaults faults;
    SettingsReader reader(document.object(), QString(), faults);
    RelaySettings settings;
    settings.vm = VmId(reader.requiredString(QStringLiteral("vm")));
    settings.dataCentre = DataCentreId(reader.requiredString(QStringLiteral("data_centre")));
    settings.callers = readAddress(reader, QStringLiteral("callers"));
    settings.readiness = readAddress(reader, QStringLiteral("readiness"));
    settings.peer = readAddress(reader, QStringLiteral("peer"));
    settings.store = readAddress(reader, QStringLiteral("store"));
    settings.retries = readRetries(reader.object(QStringLiteral("retries")));
    settings.admission = readAdmission(reader.object(QStringLiteral("admission")),
                                       document.object()
                                           .value(QStringLiteral("admission"))
                                           .toObject()
                                           .value(QStringLiteral("workspace_weights"))
                                           .toObject());
    settings.staleness = readBounds(reader);
    settings.targetHeartbeat =
        readDuration(reader, QStringLiteral("target_heartbeat_ms"), settings.targetHeartbeat);
    settings.isFirstStart = reader.flag(QStringLiteral("first_start"), settings.isFirstStart);
    settings.maxAnswer = Bytes(reader.number(QStringLiteral("max_answer_bytes"), 1, MaxAnswerBytes,
                                             settings.maxAnswer.value()));
    settings.requestTimeout =
        readDuration(reader, QStringLiteral("request_timeout_ms"), settings.requestTimeout);
    settings.responseTimeout =
        readDuration(reader, QStringLiteral("response_timeout_ms"), settings.responseTimeout);
    settings.memory = readMemory(reader, settings.memory);
    settings.descriptors = std::min(settings.descriptors,
                                    int(reader.number(QStringLiteral("descriptors"), MinDescriptors,
                                                      MaxDescriptors, MaxDescriptors)));
    settings.grace = readDuration(reader, QStringLiteral("grace_ms"), settings.grace);
    faults.addUnknownMembers();
    return {settings, faults.all()};
}

Result<RelaySettings> parseRelaySettings(const QByteArray &json)
{
    const SettingsReading read = readRelaySettings(json);
    if (!read.faults.isEmpty())
        return Error{ErrorKind::BadRequest, Ran::No, read.faults.first().text, {}, {}};
    return read.settings;
}

} // namespace cranberry
