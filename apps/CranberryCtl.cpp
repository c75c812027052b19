#include "ctl/Commands.h"
#include "http/HttpEndpoint.h"

#include <QCoreApplication>
#include <QFile>

#include <gflags/gflags.h>

#include <iostream>

DEFINE_string(server, "http://127.0.0.1:8080",
              "http://ADDRESS:PORT of a daemon; apply --wait accepts several, separated by commas");
DEFINE_string(token_file, "", "path of the file with the operator token");
DEFINE_bool(json, false, "print the output as JSON");
DEFINE_bool(wait, false, "apply: return once the version is in force at every live daemon");
DEFINE_int32(timeout_s, 30, "apply --wait: timeout in seconds");
DEFINE_int64(expected_version, -1,
             "apply: the version that FILE is based on; the current version by default");

using namespace cranberry;

namespace {

constexpr char ExitCodes[] = R"(exit codes:
  0  success
  1  diff: the documents differ; explain: no log line has the request; or an unknown flag
  2  usage error: invalid command or argument, or a file that cannot be read
  3  the document is invalid; all faults are printed with their paths
  4  the configuration has changed since the expected version; nothing was applied
  5  a daemon was unreachable or refused the request; nothing was applied
  6  the change may have been accepted; check with show
  7  apply --wait: accepted, but not in force before the timeout at the daemons listed
)";

std::optional<ctl::CommandOptions> readOptions()
{
    ctl::CommandOptions options;
    const QStringList urls =
        QString::fromStdString(FLAGS_server).split(QLatin1Char(','), Qt::SkipEmptyParts);
    for (const QString &url : urls) {
        const std::optional<HttpEndpoint> endpoint = parseEndpoint(url);
        if (!endpoint) {
            std::cerr << "cranberryctl: --server: expected http://ADDRESS:PORT, got \""
                      << url.toStdString() << "\"\n";
            return std::nullopt;
        }
        options.daemons.append(*endpoint);
    }
    if (options.daemons.isEmpty() || FLAGS_timeout_s < 0) {
        std::cerr
            << "cranberryctl: expected at least one --server, and a --timeout_s of at least 0\n";
        return std::nullopt;
    }
    QFile token(QString::fromStdString(FLAGS_token_file));
    if (!FLAGS_token_file.empty() && token.open(QIODevice::ReadOnly))
        options.token = token.readAll().trimmed();
    options.json = FLAGS_json;
    options.wait = FLAGS_wait;
    options.waitTimeout = std::chrono::seconds(FLAGS_timeout_s);
    if (FLAGS_expected_version >= 0)
        options.expectedVersion = FLAGS_expected_version;
    return options;
}

} // namespace

int main(int argc, char **argv)
{
    QCoreApplication application(argc, argv);
    gflags::SetUsageMessage("cranberryctl COMMAND [FLAGS]\n\ncommands:\n"
                            + ctl::commandList().toStdString() + '\n' + ExitCodes);
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    QStringList arguments;
    for (int i = 1; i < argc; ++i)
        arguments.append(QString::fromLocal8Bit(argv[i]));
    const std::optional<ctl::CommandOptions> options = readOptions();
    if (!options)
        return int(ctl::ExitCode::UsageError);
    return int(ctl::runCommand(arguments, *options));
}
