// cranberryd: one entry VM of the system.
#include "base/CrashReport.h"
#include "daemon/Daemon.h"

#include <QCoreApplication>
#include <QFile>
#include <QSocketNotifier>

#include <gflags/gflags.h>
#include <glog/logging.h>

#include <csignal>
#include <cstdio>
#include <unistd.h>

DEFINE_string(settings, "", "path of the settings file (JSON); required");
DEFINE_bool(check, false, "only check the settings file, then exit with 0 or 2");

namespace {

constexpr int ExitBadUse = 2;

int signalPipe[2];

void onTerminate(int)
{
    // Only write() is safe here; the event loop does the rest.
    const char byte = 1;
    (void)!write(signalPipe[1], &byte, 1);
}

int complain(const QString &line)
{
    std::fprintf(stderr, "cranberryd: %s\n", qPrintable(line));
    return ExitBadUse;
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

void initialiseLog(const char *program)
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
        "SIGTERM drains: every request is finished first. Exit codes: 0 ended as asked,\n"
        "2 bad flags or settings.");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (FLAGS_settings.empty())
        return complain(QStringLiteral("--settings FILE is required; see --help"));
    const auto settings = readSettings();
    if (!settings)
        return complain(settings.error().detail);
    if (FLAGS_check)
        return 0;
    initialiseLog(argv[0]);
    cranberry::setLogLevel(settings.value().logLevel);
    QCoreApplication application(argc, argv);
    cranberry::Daemon daemon(settings.value());
    if (const auto started = daemon.start(); !started)
        return complain(started.error().detail);

    (void)!pipe(signalPipe);
    QSocketNotifier notifier(signalPipe[0], QSocketNotifier::Read);
    QObject::connect(&notifier, &QSocketNotifier::activated, &application, [&] {
        notifier.setEnabled(false);
        daemon.drain([] { QCoreApplication::quit(); });
    });
    std::signal(SIGTERM, onTerminate);
    std::signal(SIGINT, onTerminate);
    std::fprintf(stderr, "ready gateway=%u peer=%u\n", daemon.gatewayPort(), daemon.peerPort());
    return QCoreApplication::exec();
}
