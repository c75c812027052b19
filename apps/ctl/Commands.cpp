#include "ctl/Commands.h"

#include "configuration/ConfigurationDocument.h"
#include "ctl/DocumentDifference.h"
#include "ctl/InForceWait.h"
#include "ctl/OperatorClient.h"
#include "ctl/RequestTrace.h"
#include "ctl/StatusText.h"

#include <QFile>
#include <QJsonArray>
#include <QJsonDocument>
#include <QTextStream>

#include <array>
#include <iostream>

namespace cranberry::ctl {

namespace {

constexpr int HttpConflict = 409;
constexpr int HttpPreconditionFailed = 412;
constexpr int HttpUnprocessable = 422;

void print(const QString &line)
{
    std::cout << line.toStdString() << '\n';
}

void printError(const QString &line)
{
    std::cerr << "cranberryctl: " << line.toStdString() << '\n';
}

void printJson(const QJsonObject &object, QJsonDocument::JsonFormat format = QJsonDocument::Compact)
{
    print(QString::fromUtf8(QJsonDocument(object).toJson(format)).trimmed());
}

/// Reads the JSON object in @p path; prints an error and returns empty if there is none.
std::optional<QJsonObject> readDocument(const QString &path)
{
    QFile file(path);
    if (!file.open(QIODevice::ReadOnly)) {
        printError(QStringLiteral("%1: %2").arg(path, file.errorString()));
        return std::nullopt;
    }
    QJsonParseError parseError;
    const QJsonDocument document = QJsonDocument::fromJson(file.readAll(), &parseError);
    if (parseError.error != QJsonParseError::NoError) {
        printError(QStringLiteral("%1: not JSON at byte %2: %3")
                       .arg(path)
                       .arg(parseError.offset)
                       .arg(parseError.errorString()));
        return std::nullopt;
    }
    if (!document.isObject()) {
        printError(QStringLiteral("%1: expected a JSON object").arg(path));
        return std::nullopt;
    }
    return document.object();
}

QList<ConfigurationFault> parseFaults(const QJsonObject &problem)
{
    QList<ConfigurationFault> faults;
    const QJsonArray faultArray = problem[QLatin1String("faults")].toArray();
    for (const auto &value : faultArray) {
        const QJsonObject fault = value.toObject();
        faults.append(
            {fault[QLatin1String("path")].toString(), fault[QLatin1String("message")].toString()});
    }
    return faults;
}

ExitCode reportFaults(const QString &path, const QList<ConfigurationFault> &faults, bool json)
{
    QJsonArray faultArray;
    for (const ConfigurationFault &fault : faults) {
        faultArray.append(QJsonObject{{"path", fault.path}, {"message", fault.message}});
        if (!json)
            std::cerr << path.toStdString() << ": " << fault.text().toStdString() << '\n';
    }
    if (json)
        printJson({{"valid", false}, {"faults", faultArray}});
    else
        printError(QStringLiteral("%1: %2 faults").arg(path).arg(faults.size()));
    return ExitCode::InvalidDocument;
}

ExitCode reportRequestFailure(const HttpEndpoint &daemon, const OperatorResponse &response)
{
    printError(
        QStringLiteral("%1:%2: %3").arg(daemon.address).arg(daemon.port).arg(response.problem));
    return ExitCode::Refused;
}

qint64 parseVersion(const OperatorResponse &response)
{
    QByteArray etag = response.headers.value("ETag");
    etag.replace('"', "");
    return etag.toLongLong();
}

ExitCode validate(const QStringList &arguments, const CommandOptions &options)
{
    const std::optional<QJsonObject> document = readDocument(arguments.first());
    if (!document)
        return ExitCode::UsageError;
    const QList<ConfigurationFault> faults = validateDocument(*document);
    if (!faults.isEmpty())
        return reportFaults(arguments.first(), faults, options.json);
    if (options.json)
        printJson({{"valid", true}, {"faults", QJsonArray()}});
    else
        print(QStringLiteral("%1: valid").arg(arguments.first()));
    return ExitCode::Success;
}

ExitCode reportApplyFailure(const QString &path, const CommandOptions &options,
                            const OperatorResponse &response)
{
    switch (response.status) {
    case HttpUnprocessable:
        return reportFaults(path, parseFaults(response.body), options.json);
    case HttpPreconditionFailed: {
        printError(response.problem);
        const QJsonArray changes = response.body[QLatin1String("changes")].toArray();
        for (const auto &change : changes)
            printJson(change.toObject());
        return ExitCode::Conflict;
    }
    case HttpConflict:
        printError(response.problem);
        return ExitCode::OutcomeUnknown;
    default:
        return reportRequestFailure(options.daemons.first(), response);
    }
}

ExitCode waitAndReport(OperatorClient &client, const CommandOptions &options, qint64 version)
{
    const QStringList lagging =
        waitUntilInForce(client, options.daemons, version, options.waitTimeout);
    if (lagging.isEmpty()) {
        if (!options.json)
            print(QStringLiteral("version %1 is in force everywhere").arg(version));
        return ExitCode::Success;
    }
    printError(QStringLiteral("version %1 is accepted, but not in force before the timeout at: %2")
                   .arg(version)
                   .arg(lagging.join(QLatin1String(", "))));
    return ExitCode::NotInForce;
}

ExitCode apply(const QStringList &arguments, const CommandOptions &options)
{
    const std::optional<QJsonObject> document = readDocument(arguments.first());
    if (!document)
        return ExitCode::UsageError;
    OperatorClient client(options.token);
    const HttpEndpoint &daemon = options.daemons.first();
    qint64 expectedVersion = options.expectedVersion.value_or(0);
    if (!options.expectedVersion) {
        const OperatorResponse current = client.get(daemon, "/v1/configuration");
        if (!current.isSuccess())
            return reportRequestFailure(daemon, current);
        expectedVersion = parseVersion(current);
    }
    const OperatorResponse response = client.putConfiguration(daemon, expectedVersion, *document);
    if (response.status == 0) {
        // Without a response, the daemon may still have received and accepted the request, so the
        // change must not be reported as not applied.
        printError(QStringLiteral("%1; the change may have been accepted, check with `show`")
                       .arg(response.problem));
        return ExitCode::OutcomeUnknown;
    }
    if (!response.isSuccess())
        return reportApplyFailure(arguments.first(), options, response);
    const qint64 version = parseVersion(response);
    if (options.json)
        printJson({{"version", version}});
    else
        print(QStringLiteral("accepted as version %1").arg(version));
    return options.wait ? waitAndReport(client, options, version) : ExitCode::Success;
}

ExitCode show(const QStringList &, const CommandOptions &options)
{
    OperatorClient client(options.token);
    const OperatorResponse response = client.get(options.daemons.first(), "/v1/configuration");
    if (!response.isSuccess())
        return reportRequestFailure(options.daemons.first(), response);
    if (options.json) {
        printJson({{"version", parseVersion(response)}, {"document", response.body}});
    } else {
        std::cerr << "version " << parseVersion(response) << '\n';
        printJson(response.body, QJsonDocument::Indented);
    }
    return ExitCode::Success;
}

ExitCode diff(const QStringList &arguments, const CommandOptions &options)
{
    const std::optional<QJsonObject> document = readDocument(arguments.first());
    if (!document)
        return ExitCode::UsageError;
    OperatorClient client(options.token);
    const OperatorResponse current = client.get(options.daemons.first(), "/v1/configuration");
    if (!current.isSuccess())
        return reportRequestFailure(options.daemons.first(), current);
    if (options.json) {
        printJson({{"version", parseVersion(current)},
                   {"patch", mergePatchBetween(current.body, *document)}});
    } else {
        const QList<DocumentDifference> differences = differencesBetween(current.body, *document);
        for (const DocumentDifference &difference : differences)
            print(difference.text());
    }
    return current.body == *document ? ExitCode::Success : ExitCode::Differs;
}

ExitCode status(const QStringList &, const CommandOptions &options)
{
    OperatorClient client(options.token);
    const OperatorResponse response = client.get(options.daemons.first(), "/v1/status");
    if (!response.isSuccess())
        return reportRequestFailure(options.daemons.first(), response);
    if (options.json)
        printJson(response.body);
    else
        print(statusText(response.body));
    return ExitCode::Success;
}

ExitCode targets(const QStringList &, const CommandOptions &options)
{
    OperatorClient client(options.token);
    const OperatorResponse response = client.get(options.daemons.first(), "/v1/status");
    if (!response.isSuccess())
        return reportRequestFailure(options.daemons.first(), response);
    if (options.json)
        printJson({{"targets", response.body[QLatin1String("targets")]}});
    else
        print(targetsText(response.body));
    return ExitCode::Success;
}

/// Reads the log lines in @p path; prints an error and returns empty if it cannot be read.
std::optional<QList<LogLine>> readLogFile(const QString &path)
{
    QFile file(path);
    if (!file.open(QIODevice::ReadOnly)) {
        printError(QStringLiteral("%1: %2").arg(path, file.errorString()));
        return std::nullopt;
    }
    QList<LogLine> lines;
    while (!file.atEnd()) {
        const QString text = QString::fromUtf8(file.readLine()).trimmed();
        if (const std::optional<LogLine> line = parseLogLine(text, path))
            lines.append(*line);
    }
    return lines;
}

ExitCode explain(const QStringList &arguments, const CommandOptions &options)
{
    QList<LogLine> lines;
    for (const QString &path : arguments.mid(1)) {
        const std::optional<QList<LogLine>> fileLines = readLogFile(path);
        if (!fileLines)
            return ExitCode::UsageError;
        lines += *fileLines;
    }
    const RequestTrace trace = traceRequest(arguments.first(), lines);
    if (trace.verdict.isEmpty()) {
        printError(
            QStringLiteral("no log line in these files has request=%1").arg(arguments.first()));
        return ExitCode::Differs;
    }
    if (options.json) {
        QJsonArray jsonLines;
        for (const LogLine &line : trace.lines)
            jsonLines.append(QJsonObject{{"file", line.file}, {"line", line.text}});
        printJson({{"lines", jsonLines}, {"verdict", QJsonArray::fromStringList(trace.verdict)}});
        return ExitCode::Success;
    }
    for (const LogLine &line : trace.lines)
        print(QStringLiteral("%1: %2").arg(line.file, line.text));
    for (const QString &sentence : trace.verdict)
        print(sentence);
    return ExitCode::Success;
}

struct Command {
    const char *name;
    const char *argumentSyntax;
    /// Number of required arguments. More are accepted if argumentSyntax ends with "...".
    qsizetype minArguments;
    const char *description;
    bool needsDaemon;
    ExitCode (*run)(const QStringList &arguments, const CommandOptions &options);
};

constexpr std::array<Command, 7> Commands{{
    {"validate", "FILE", 1, "validate a document without a daemon and print all its faults", false,
     validate},
    {"apply", "FILE", 1, "submit a document as the next version; with --wait, wait for all daemons",
     true, apply},
    {"show", "", 0, "print the current document, and its version to stderr", true, show},
    {"diff", "FILE", 1, "print the changes that applying a document would make", true, diff},
    {"status", "", 0, "print daemons with their configuration versions, and the quarantine list",
     true, status},
    {"targets", "", 0, "print targets with their memory use and whether they are leaving", true,
     targets},
    {"explain", "ID LOG...", 2, "print the log lines of a request and why it ended", false,
     explain},
}};

} // namespace

QString commandList()
{
    QString text;
    for (const Command &command : Commands) {
        const QString call =
            QString(QLatin1String(command.name) + ' ' + QLatin1String(command.argumentSyntax));
        text += QStringLiteral("  %1  %2\n").arg(call, -14).arg(QLatin1String(command.description));
    }
    return text;
}

ExitCode runCommand(const QStringList &arguments, const CommandOptions &options)
{
    if (arguments.isEmpty()) {
        printError(QLatin1String("no command given; see --help"));
        return ExitCode::UsageError;
    }
    for (const Command &command : Commands) {
        if (arguments.first() != QLatin1String(command.name))
            continue;
        const bool isVariadic =
            QLatin1String(command.argumentSyntax).endsWith(QLatin1String("..."));
        const qsizetype argumentCount = arguments.size() - 1;
        if (argumentCount < command.minArguments
            || (argumentCount > command.minArguments && !isVariadic)) {
            printError(
                QStringLiteral("usage: cranberryctl %1 %2")
                    .arg(QLatin1String(command.name), QLatin1String(command.argumentSyntax)));
            return ExitCode::UsageError;
        }
        if (command.needsDaemon && options.token.isEmpty()) {
            printError(
                QLatin1String("--token_file: expected a readable file with the operator token"));
            return ExitCode::UsageError;
        }
        return command.run(arguments.mid(1), options);
    }
    printError(QStringLiteral("unknown command \"%1\"; see --help").arg(arguments.first()));
    return ExitCode::UsageError;
}

} // namespace cranberry::ctl
