#include "relay/RelayProgram.h"

#include "base/CrashReport.h"
#include "base/EventLog.h"
#include "base/LogSink.h"
#include "relay/RelayDaemon.h"
#include "relay/RelayProtocols.h"
#include "relay/RelaySettings.h"

#include <QCoreApplication>
#include <QFile>
#include <QSocketNotifier>

#include <gflags/gflags.h>

#include <cerrno>
#include <csignal>
#include <cstdio>
#include <unistd.h>

DEFINE_string(settings, "", "path of the settings file (JSON)");
DEFINE_bool(check, false, "only check the settings file, then exit with 0 or 2");

namespace cranberry {

namespace {

constexpr int ExitBadUse = 2;

int signalPipe[2];

/// Only async-signal-safe calls such as write() are allowed here; the event loop does the rest.
void onSignal(int number)
{
    const int interruptedError = errno;
    const char byte = char(number);
    (void)!write(signalPipe[1], &byte, 1);
    errno = interruptedError;
}

/// Signals that arrive before the event loop runs are handled once it does.
void installSignalHandlers()
{
    (void)!pipe(signalPipe);
    for (const int number : {SIGTERM, SIGINT, SIGHUP})
        std::signal(number, onSignal);
    std::signal(SIGPIPE, SIG_IGN);
}

int reportError(const QString &line)
{
    std::fprintf(stderr, "cranberryd: %s\n", qPrintable(line));
    return ExitBadUse;
}

QString settingsPath(const char *settingsVariable)
{
    return FLAGS_settings.empty() ? qEnvironmentVariable(settingsVariable)
                                  : QString::fromStdString(FLAGS_settings);
}

Result<RelaySettings> readSettings(const QString &path)
{
    QFile file(path);
    if (path.isEmpty() || !file.open(QIODevice::ReadOnly)) {
        Error error;
        error.detail =
            QStringLiteral("--settings: cannot read \"%1\": %2").arg(path, file.errorString());
        return error;
    }
    return parseRelaySettings(file.readAll());
}

/// Settings take effect only at startup; a reload only reports whether the file is still valid.
void reload(const QString &path)
{
    const Result<RelaySettings> read = readSettings(path);
    logEvent(read ? LogLevel::Info : LogLevel::Error, EventId::SettingsReloaded,
             {{"detail", read ? QStringLiteral("valid") : read.error().detail}});
}

} // namespace

int runRelayProgram(int argc, char *argv[], const char *settingsVariable,
                    const RelayProtocols &protocols)
{
    gflags::SetUsageMessage("runs one entry VM of cranberryquay on a platform\n"
                            "  cranberryd-platform [--settings FILE] [--check]\n"
                            "SIGTERM drains the daemon; SIGHUP checks the settings file again.");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const QString path = settingsPath(settingsVariable);
    const Result<RelaySettings> settings = readSettings(path);
    if (!settings)
        return reportError(settings.error().detail);
    if (FLAGS_check)
        return 0;
    installCrashReport();
    // After the crash report, whose handlers end the process on SIGTERM too, and before the daemon
    // listens.
    installSignalHandlers();
    // Qt's poll() event loop needs no additional library and no threads.
    qputenv("QT_NO_GLIB", "1");
    QCoreApplication application(argc, argv);
    LogSink sink;
    RelayDaemon daemon(settings.value(), protocols);
    if (const auto started = daemon.start(); !started)
        return reportError(started.error().detail);

    QSocketNotifier notifier(signalPipe[0], QSocketNotifier::Read);
    QObject::connect(&notifier, &QSocketNotifier::activated, &application, [&] {
        char number = 0;
        (void)!read(signalPipe[0], &number, 1);
        if (number == SIGHUP)
            reload(path);
        else
            daemon.drain([] { QCoreApplication::quit(); });
    });
    return QCoreApplication::exec();
}

} // namespace cranberry
