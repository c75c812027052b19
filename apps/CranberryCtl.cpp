// cranberryctl: the operators' tool. Reads its flags and runs one command.
#include "ctl/Commands.h"
#include "http/HttpEndpoint.h"

#include <QCoreApplication>
#include <QFile>

#include <gflags/gflags.h>

#include <iostream>

DEFINE_string(server, "http://127.0.0.1:8080",
              "http://ADDRESS:PORT of a daemon; several, parted by commas, for apply --wait");
DEFINE_string(token_file, "", "file that holds the operator token");
DEFINE_bool(json, false, "print JSON");
DEFINE_bool(wait, false, "apply: return when every live daemon has the version in force");
DEFINE_int32(timeout_s, 30, "apply --wait: seconds to wait");
DEFINE_int64(expected_version, -1,
             "apply: the version that FILE was made from; the present one if not given");

using namespace cranberry;

namespace {

constexpr char ExitCodes[] = R"(exit codes:
  0  done
  1  diff: the documents differ; explain: no line has the request; or an unknown flag
  2  wrong use: command, argument, or a file that cannot be read
  3  the document has faults; all are printed with their paths
  4  the configuration has changed meanwhile; nothing was applied
  5  a daemon could not be reached or refused; nothing was applied
  6  the change may have been accepted; see show
  7  apply --wait: accepted, but not in force in time at the daemons named
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
        std::cerr << "cranberryctl: expected at least one --server and --timeout_s from 0\n";
        return std::nullopt;
    }
    QFile token(QString::fromStdString(FLAGS_token_file));
    if (!FLAGS_token_file.empty() && token.open(QIODevice::ReadOnly))
        options.token = token.readAll().trimmed();
    options.json = FLAGS_json;
    options.wait = FLAGS_wait;
    options.waitLimit = std::chrono::seconds(FLAGS_timeout_s);
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
    QStringList words;
    for (int i = 1; i < argc; ++i)
        words.append(QString::fromLocal8Bit(argv[i]));
    const std::optional<ctl::CommandOptions> options = readOptions();
    if (!options)
        return int(ctl::ExitCode::WrongUse);
    return int(ctl::runCommand(words, *options));
}
