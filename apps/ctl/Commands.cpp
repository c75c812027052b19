#include "ctl/Commands.h"

#include "configuration/ConfigurationDocument.h"
#include "ctl/DocumentDifference.h"
#include "ctl/InForceWait.h"
#include "ctl/OperatorClient.h"
#include "ctl/RequestStory.h"
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

void complain(const QString &line)
{
    std::cerr << "cranberryctl: " << line.toStdString() << '\n';
}

void printJson(const QJsonObject &object, QJsonDocument::JsonFormat format = QJsonDocument::Compact)
{
    print(QString::fromUtf8(QJsonDocument(object).toJson(format)).trimmed());
}

/// The JSON object in @p path; complains and gives nothing if there is none.
std::optional<QJsonObject> readDocument(const QString &path)
{
    QFile file(path);
    if (!file.open(QIODevice::ReadOnly)) {
        complain(QStringLiteral("%1: %2").arg(path, file.errorString()));
        return std::nullopt;
    }
    QJsonParseError fault;
    const QJsonDocument document = QJsonDocument::fromJson(file.readAll(), &fault);
    if (fault.error != QJsonParseError::NoError) {
        complain(QStringLiteral("%1: not JSON at byte %2: %3")
                     .arg(path)
                     .arg(fault.offset)
                     .arg(fault.errorString()));
        return std::nullopt;
    }
    if (!document.isObject()) {
        complain(QStringLiteral("%1: expected a JSON object").arg(path));
        return std::nullopt;
    }
    return document.object();
}

QList<ConfigurationFault> faultsInProblem(const QJsonObject &problem)
{
    QList<ConfigurationFault> faults;
    const QJsonArray list = problem[QLatin1String("faults")].toArray();
    for (const auto &value : list) {
        const QJsonObject fault = value.toObject();
        faults.append(
            {fault[QLatin1String("path")].toString(), fault[QLatin1String("message")].toString()});
    }
    return faults;
}

ExitCode reportFaults(const QString &path, const QList<ConfigurationFault> &faults, bool json)
{
    QJsonArray list;
    for (const ConfigurationFault &fault : faults) {
        list.append(QJsonObject{{"path", fault.path}, {"message", fault.message}});
        if (!json)
            std::cerr << path.toStdString() << ": " << fault.text().toStdString() << '\n';
    }
    if (json)
        printJson({{"valid", false}, {"faults", list}});
    else
        complain(QStringLiteral("%1: %2 faults").arg(path).arg(faults.size()));
    return ExitCode::Invalid;
}

ExitCode reportRefusal(const HttpEndpoint &daemon, const OperatorAnswer &answer)
{
    complain(QStringLiteral("%1:%2: %3").arg(daemon.address).arg(daemon.port).arg(answer.problem));
    return ExitCode::Refused;
}

qint64 versionOf(const OperatorAnswer &answer)
{
    QByteArray etag = answer.headers.value("ETag");
    etag.replace('"', "");
    return etag.toLongLong();
}

ExitCode validate(const QStringList &arguments, const CommandOptions &options)
{
    const std::optional<QJsonObject> document = readDocument(arguments.first());
    if (!document)
        return ExitCode::WrongUse;
    const QList<ConfigurationFault> faults = validateDocument(*document);
    if (!faults.isEmpty())
        return reportFaults(arguments.first(), faults, options.json);
    if (options.json)
        printJson({{"valid", true}, {"faults", QJsonArray()}});
    else
        print(QStringLiteral("%1: valid").arg(arguments.first()));
    return ExitCode::Done;
}

ExitCode reportRejection(const QString &path, const CommandOptions &options,
                         const OperatorAnswer &answer)
{
    switch (answer.status) {
    case HttpUnprocessable:
        return reportFaults(path, faultsInProblem(answer.body), options.json);
    case HttpPreconditionFailed: {
        complain(answer.problem);
        const QJsonArray changes = answer.body[QLatin1String("changes")].toArray();
        for (const auto &change : changes)
            printJson(change.toObject());
        return ExitCode::Conflict;
    }
    case HttpConflict:
        complain(answer.problem);
        return ExitCode::Unsettled;
    default:
        return reportRefusal(options.daemons.first(), answer);
    }
}

ExitCode waitAndReport(OperatorClient &client, const CommandOptions &options, qint64 version)
{
    const QStringList behind = waitInForce(client, options.daemons, version, options.waitLimit);
    if (behind.isEmpty()) {
        if (!options.json)
            print(QStringLiteral("version %1 is in force everywhere").arg(version));
        return ExitCode::Done;
    }
    complain(QStringLiteral("version %1 is accepted, but not in force in time at: %2")
                 .arg(version)
                 .arg(behind.join(QLatin1String(", "))));
    return ExitCode::NotInForce;
}

ExitCode apply(const QStringList &arguments, const CommandOptions &options)
{
    const std::optional<QJsonObject> document = readDocument(arguments.first());
    if (!document)
        return ExitCode::WrongUse;
    OperatorClient client(options.token);
    const HttpEndpoint &daemon = options.daemons.first();
    qint64 expected = options.expectedVersion.value_or(0);
    if (!options.expectedVersion) {
        const OperatorAnswer present = client.get(daemon, "/v1/configuration");
        if (!present.isSuccess())
            return reportRefusal(daemon, present);
        expected = versionOf(present);
    }
    const OperatorAnswer answer = client.put(daemon, expected, *document);
    if (answer.status == 0) {
        // The request may have arrived: it must not be called "not applied".
        complain(QStringLiteral("%1; the change may be accepted, see `show`").arg(answer.problem));
        return ExitCode::Unsettled;
    }
    if (!answer.isSuccess())
        return reportRejection(arguments.first(), options, answer);
    const qint64 version = versionOf(answer);
    if (options.json)
        printJson({{"version", version}});
    else
        print(QStringLiteral("accepted as version %1").arg(version));
    return options.wait ? waitAndReport(client, options, version) : ExitCode::Done;
}

ExitCode show(const QStringList &, const CommandOptions &options)
{
    OperatorClient client(options.token);
    const OperatorAnswer answer = client.get(options.daemons.first(), "/v1/configuration");
    if (!answer.isSuccess())
        return reportRefusal(options.daemons.first(), answer);
    if (options.json) {
        printJson({{"version", versionOf(answer)}, {"document", answer.body}});
    } else {
        std::cerr << "version " << versionOf(answer) << '\n';
        printJson(answer.body, QJsonDocument::Indented);
    }
    return ExitCode::Done;
}

ExitCode diff(const QStringList &arguments, const CommandOptions &options)
{
    const std::optional<QJsonObject> document = readDocument(arguments.first());
    if (!document)
        return ExitCode::WrongUse;
    OperatorClient client(options.token);
    const OperatorAnswer present = client.get(options.daemons.first(), "/v1/configuration");
    if (!present.isSuccess())
        return reportRefusal(options.daemons.first(), present);
    if (options.json) {
        printJson({{"version", versionOf(present)},
                   {"patch", mergePatchBetween(present.body, *document)}});
    } else {
        const QList<DocumentDifference> differences = differencesBetween(present.body, *document);
        for (const DocumentDifference &difference : differences)
            print(difference.text());
    }
    return present.body == *document ? ExitCode::Done : ExitCode::Differs;
}

ExitCode status(const QStringList &, const CommandOptions &options)
{
    OperatorClient client(options.token);
    const OperatorAnswer answer = client.get(options.daemons.first(), "/v1/status");
    if (!answer.isSuccess())
        return reportRefusal(options.daemons.first(), answer);
    if (options.json)
        printJson(answer.body);
    else
        print(statusText(answer.body));
    return ExitCode::Done;
}

ExitCode targets(const QStringList &, const CommandOptions &options)
{
    OperatorClient client(options.token);
    const OperatorAnswer answer = client.get(options.daemons.first(), "/v1/status");
    if (!answer.isSuccess())
        return reportRefusal(options.daemons.first(), answer);
    if (options.json)
        printJson({{"targets", answer.body[QLatin1String("targets")]}});
    else
        print(targetsText(answer.body));
    return ExitCode::Done;
}

/// The log lines in @p path; complains and gives nothing if it cannot be read.
std::optional<QList<LogLine>> readLog(const QString &path)
{
    QFile file(path);
    if (!file.open(QIODevice::ReadOnly)) {
        complain(QStringLiteral("%1: %2").arg(path, file.errorString()));
        return std::nullopt;
    }
    QList<LogLine> lines;
    while (!file.atEnd()) {
        const QString text = QString::fromUtf8(file.readLine()).trimmed();
        if (const std::optional<LogLine> line = readLogLine(text, path))
            lines.append(*line);
    }
    return lines;
}

ExitCode explain(const QStringList &arguments, const CommandOptions &options)
{
    QList<LogLine> lines;
    for (const QString &path : arguments.mid(1)) {
        const std::optional<QList<LogLine>> read = readLog(path);
        if (!read)
            return ExitCode::WrongUse;
        lines += *read;
    }
    const RequestStory story = storyOf(arguments.first(), lines);
    if (story.verdict.isEmpty()) {
        complain(QStringLiteral("no line of these files has request=%1").arg(arguments.first()));
        return ExitCode::Differs;
    }
    if (options.json) {
        QJsonArray texts;
        for (const LogLine &line : story.lines)
            texts.append(QJsonObject{{"file", line.file}, {"line", line.text}});
        printJson({{"lines", texts}, {"verdict", QJsonArray::fromStringList(story.verdict)}});
        return ExitCode::Done;
    }
    for (const LogLine &line : story.lines)
        print(QStringLiteral("%1: %2").arg(line.file, line.text));
    for (const QString &sentence : story.verdict)
        print(sentence);
    return ExitCode::Done;
}

struct Command {
    const char *name;
    const char *argument;
    /// Words that must follow; more may if the last argument says so with dots.
    qsizetype words;
    const char *description;
    bool asksDaemon;
    ExitCode (*run)(const QStringList &arguments, const CommandOptions &options);
};

constexpr std::array<Command, 7> Commands{{
    {"validate", "FILE", 1, "check a document without a daemon and print all its faults", false,
     validate},
    {"apply", "FILE", 1, "make a document the next version; with --wait, wait for all daemons",
     true, apply},
    {"show", "", 0, "print the document, and its version to stderr", true, show},
    {"diff", "FILE", 1, "print what applying a document would change", true, diff},
    {"status", "", 0, "print daemons with their versions, and the quarantine", true, status},
    {"targets", "", 0, "print targets with their memory and leaving marks", true, targets},
    {"explain", "ID LOG...", 2, "print what logs of daemons say of a request, and why it ended",
     false, explain},
}};

} // namespace

QString commandList()
{
    QString text;
    for (const Command &command : Commands) {
        const QString call =
            QString(QLatin1String(command.name) + ' ' + QLatin1String(command.argument));
        text += QStringLiteral("  %1  %2\n").arg(call, -14).arg(QLatin1String(command.description));
    }
    return text;
}

ExitCode runCommand(const QStringList &words, const CommandOptions &options)
{
    if (words.isEmpty()) {
        complain(QLatin1String("no command given, see --help"));
        return ExitCode::WrongUse;
    }
    for (const Command &command : Commands) {
        if (words.first() != QLatin1String(command.name))
            continue;
        const bool takesMore = QLatin1String(command.argument).endsWith(QLatin1String("..."));
        const qsizetype given = words.size() - 1;
        if (given < command.words || (given > command.words && !takesMore)) {
            complain(QStringLiteral("usage: cranberryctl %1 %2")
                         .arg(QLatin1String(command.name), QLatin1String(command.argument)));
            return ExitCode::WrongUse;
        }
        if (command.asksDaemon && options.token.isEmpty()) {
            complain(QLatin1String("--token_file names no readable file with the operator token"));
            return ExitCode::WrongUse;
        }
        return command.run(words.mid(1), options);
    }
    complain(QStringLiteral("unknown command \"%1\", see --help").arg(words.first()));
    return ExitCode::WrongUse;
}

} // namespace cranberry::ctl
