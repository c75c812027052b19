#include "daemon/DaemonSettings.h"

#include "daemon/SettingsReader.h"

#include <QHostAddress>
#include <QJsonDocument>

namespace cranberry {

namespace {

constexpr qint64 MaxPort = 65535;
constexpr qint64 MaxBytes = qint64(1) << 30;
constexpr qint64 MaxConnections = 100'000;
constexpr qint64 MaxWorkers = 64;

HttpEndpoint readListenEndpoint(SettingsReader reader)
{
    HttpEndpoint endpoint;
    endpoint.address = reader.string(QStringLiteral("address"), QStringLiteral("127.0.0.1"));
    if (QHostAddress(endpoint.address).isNull())
        reader.fault(QStringLiteral("address"), QStringLiteral("an IP number"));
    endpoint.port = quint16(reader.number(QStringLiteral("port"), 0, MaxPort, 0));
    return endpoint;
}

LogLevel readLogLevel(SettingsReader reader)
{
    const QString level = reader.string(QStringLiteral("level"), QStringLiteral("info"));
    if (level == QLatin1String("debug"))
        return LogLevel::Debug;
    if (level == QLatin1String("warning"))
        return LogLevel::Warning;
    if (level == QLatin1String("error"))
        return LogLevel::Error;
    if (level != QLatin1String("info"))
        reader.fault(QStringLiteral("level"), QStringLiteral("debug, info, warning or error"));
    return LogLevel::Info;
}

Milliseconds readDuration(SettingsReader &reader, const QString &name, Milliseconds fallback)
{
    return reader.duration(name, DurationRounding::Down, fallback);
}

void readLimits(SettingsReader reader, DaemonSettings &settings)
{
    HttpServerLimits &http = settings.http;
    http.body =
        Bytes(reader.number(QStringLiteral("body_bytes"), 1024, MaxBytes, http.body.value()));
    http.headers =
        Bytes(reader.number(QStringLiteral("header_bytes"), 1024, MaxBytes, http.headers.value()));
    http.connections =
        int(reader.number(QStringLiteral("connections"), 1, MaxConnections, http.connections));
    http.maxUnreadResponse = Bytes(reader.number(QStringLiteral("unread_answer_bytes"), 1024,
                                                 MaxBytes, http.maxUnreadResponse.value()));
    http.requestTimeout =
        readDuration(reader, QStringLiteral("request_arrival_ms"), http.requestTimeout);
    settings.stall.minSilence =
        readDuration(reader, QStringLiteral("stall_floor_ms"), settings.stall.minSilence);
    settings.stall.maxSilence =
        readDuration(reader, QStringLiteral("stall_ceiling_ms"), settings.stall.maxSilence);
    if (settings.stall.maxSilence < settings.stall.minSilence)
        reader.fault(QStringLiteral("stall_ceiling_ms"), QStringLiteral("at least stall_floor_ms"));
    settings.retention.finishedDuration =
        readDuration(reader, QStringLiteral("finished_ms"), settings.retention.finishedDuration);
    settings.retention.abandonedTimeout =
        readDuration(reader, QStringLiteral("abandoned_ms"), settings.retention.abandonedTimeout);
    settings.workers =
        int(reader.number(QStringLiteral("workers"), 1, MaxWorkers, settings.workers));
    settings.drainListenTime =
        readDuration(reader, QStringLiteral("drain_listen_ms"), settings.drainListenTime);
    settings.loadPollInterval =
        readDuration(reader, QStringLiteral("load_poll_ms"), settings.loadPollInterval);
}

} // namespace

Result<DaemonSettings> parseSettings(const QByteArray &json)
{
    QJsonParseError fault;
    const QJsonDocument document = QJsonDocument::fromJson(json, &fault);
    if (fault.error != QJsonParseError::NoError || !document.isObject())
        return Error{ErrorKind::BadRequest,
                     Ran::No,
                     QStringLiteral("settings: not a JSON object (byte %1: %2)")
                         .arg(fault.offset)
                         .arg(fault.errorString()),
                     {},
                     {}};
    SettingsFaults faults;
    SettingsReader reader(document.object(), QString(), faults);
    DaemonSettings settings;
    settings.vm = VmId(reader.requiredString(QStringLiteral("vm")));
    settings.dataCentre = DataCentreId(reader.requiredString(QStringLiteral("data_centre")));
    settings.gateway = readListenEndpoint(reader.object(QStringLiteral("gateway")));
    SettingsReader peer = reader.object(QStringLiteral("peer"));
    settings.peerSecretFile = peer.string(QStringLiteral("secret_file"), QString());
    settings.peer = readListenEndpoint(peer);
    SettingsReader platform = reader.object(QStringLiteral("platform"));
    const std::optional<HttpEndpoint> url =
        parseEndpoint(platform.requiredString(QStringLiteral("url")));
    if (!url)
        platform.fault(QStringLiteral("url"),
                       QStringLiteral("\"http://ADDRESS:PORT\" with an IP number"));
    settings.platform = url.value_or(HttpEndpoint());
    settings.operatorTokenFile = reader.requiredString(QStringLiteral("operator_token_file"));
    settings.logLevel = readLogLevel(reader.object(QStringLiteral("log")));
    readLimits(reader.object(QStringLiteral("limits")), settings);
    faults.addUnknownMembers();
    if (!faults.isEmpty())
        return Error{ErrorKind::BadRequest, Ran::No, faults.first(), {}, {}};
    return settings;
}

} // namespace cranberry
