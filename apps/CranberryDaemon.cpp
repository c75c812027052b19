#include "base/CrashReport.h"
#include "daemon/Daemon.h"

#include <QCoreApplication>
#include <QFile>
#include <QSocketNotifier>

#include <gflags/gflags.h>
#include <glog/logging.h>

#include <cerrno>
#include <csignal>
#include <cstdio>
#include <unistd.h>

DEFINE_string(settings, "", "path of the settings file (JSON); required");
DEFINE_bool(check, false, "check the settings file and exit with 0 (valid) or 2 (invalid)");

namespace {

constexpr int ExitUsageError = 2;

int signalPipe[2];

void handleTerminationSignal(int)
{
    // write() is async-signal-safe; the event loop starts the drain when it reads the byte.
    const int interruptedError = errno;
    const char byte = 1;
    (void)!write(signalPipe[1], &byte, 1);
    errno = interruptedError;
}

/// Signals that arrive before the event loop runs are handled once it does.
void installSignalHandlers()
{
    (void)!pipe(signalPipe);
    std::signal(SIGTERM, handleTerminationSignal);
    std::signal(SIGINT, handleTerminationSignal);
}

/// Prints @p line to stderr and returns the exit code for a usage or start error.
int reportError(const QString &line)
{
    std::fprintf(stderr, "cranberryd: %s\n", qPrintable(line));
    return ExitUsageError;
}

cranberry::Result<cranberry::DaemonSettings> readSettings()
{
    QFile file(QString::fromStdString(FLAGS_settings));
    if (!file.open(QIODevice::ReadOnly)) {
        cranberry::Error error;
        error.detail = QStringLiteral("--settings: cannot read \"%1\": %2")
                           .arg(file.fileName(), file.errorString());
        return error;
    }
    return cranberry::parseSettings(file.readAll());
}

void initialiseLogging(const char *program)
{
    FLAGS_logtostderr = true;
    FLAGS_log_prefix = true;
    google::InitGoogleLogging(program);
    cranberry::installCrashReport();
}

} // namespace

int main(int argc, char *argv[])
{
    gflags::SetUsageMessage(
        "runs one entry VM of cranberryquay\n"
        "  cranberryd --settings FILE [--check]\n"
        "SIGTERM or SIGINT drains: the daemon completes every request before it exits.\n"
        "Exit codes: 0 drained or settings valid; 2 invalid flags or settings, or start failed.");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (FLAGS_settings.empty())
        return reportError(QStringLiteral("--settings FILE is required; see --help"));
    const auto settings = readSettings();
    if (!settings)
        return reportError(settings.error().detail);
    if (FLAGS_check)
        return 0;
    initialiseLogging(argv[0]);
    // After the crash report, whose handlers end the process on SIGTERM too, and before the daemon
    // listens.
    installSignalHandlers();
    cranberry::setLogLevel(settings.value().logLevel);
    QCoreApplication application(argc, argv);
    cranberry::Daemon daemon(settings.value());
    if (const auto started = daemon.start(); !started)
        return reportError(started.error().detail);

    QSocketNotifier notifier(signalPipe[0], QSocketNotifier::Read);
    QObject::connect(&notifier, &QSocketNotifier::activated, &application, [&] {
        notifier.setEnabled(false);
        daemon.drain([] { QCoreApplication::quit(); });
    });
    std::fprintf(stderr, "ready gateway=%u peer=%u\n", daemon.gatewayPort(), daemon.peerPort());
    return QCoreApplication::exec();
}
