#include "relay/RelayProgram.h"

#include "base/CrashReport.h"
#include "base/EventLog.h"
#include "base/LogSink.h"
#include "relay/RelayDaemon.h"
#include "relay/RelayProtocols.h"
#include "relay/SettingsReading.h"

#include <QCoreApplication>
#include <QFile>
#include <QSocketNotifier>

#include <gflags/gflags.h>

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <cstdio>
#include <unistd.h>

DEFINE_string(settings, "", "path of the settings file (JSON)");
DEFINE_bool(check, false, "only check the settings file, then exit with 0 or 2");

namespace cranberry {

namespace {

constexpr int ExitBadUse = 2;
/// Faults of one file that are logged.
constexpr qsizetype MaxFaults = 50;

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

SettingsReading readSettings(const QString &path)
{
    QFile file(path);
    if (path.isEmpty() || !file.open(QIODevice::ReadOnly)) {
        const QString text =
            QStringLiteral("--settings: cannot read \"%1\": %2").arg(path, file.errorString());
        return {{}, {{text, {}, true}}};
    }
    return readRelaySettings(file.readAll());
}

void logFaults(const SettingsReading &read)
{
    for (const SettingsFault &fault : read.faults.first(std::min(read.faults.size(), MaxFaults)))
        logEvent(fault.isFatal ? LogLevel::Error : LogLevel::Warning, EventId::SettingsFault,
                 {{"detail", fault.text},
                  {"used", fault.used},
                  {"fatal", fault.isFatal ? QStringLiteral("yes") : QStringLiteral("no")}});
}

/// Reads the file for a daemon that runs.
SettingsReading readAgain(RelayDaemon &daemon, const QString &path)
{
    SettingsReading read = readSettings(path);
    logFaults(read);
    daemon.settingsRead(read);
    return read;
}

void reload(RelayDaemon &daemon, const QString &path)
{
    const SettingsReading read = readAgain(daemon, path);
    logEvent(
        read.fatalFault() ? LogLevel::Error : LogLevel::Info, EventId::SettingsReloaded,
        {{"detail", read.faults.isEmpty() ? QStringLiteral("valid") : read.faults.first().text}});
}

/// The platform kills the process at the end of the grace time that is in the file now, which may
/// have changed without a signal.
void shutDown(RelayDaemon &daemon, const QString &path)
{
    readAgain(daemon, path);
    daemon.drain([] { QCoreApplication::quit(); });
}

} // namespace

int runRelayProgram(int argc, char *argv[], const char *settingsVariable,
                    const RelayProtocols &protocols)
{
    gflags::SetUsageMessage("runs one entry VM of cranberryquay on a platform\n"
                            "  cranberryd-platform [--settings FILE] [--check]\n"
                            "SIGTERM drains the daemon; SIGHUP reads the settings file again.");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const QString path = settingsPath(settingsVariable);
    const SettingsReading settings = readSettings(path);
    if (FLAGS_check)
        return settings.faults.isEmpty() ? 0 : reportError(settings.faults.first().text);
    if (const SettingsFault *fault = settings.fatalFault())
        return reportError(fault->text);
    installCrashReport();
    // After the crash report, whose handlers end the process on SIGTERM too, and before the daemon
    // listens.
    installSignalHandlers();
    // Qt's poll() event loop needs no additional library and no threads.
    qputenv("QT_NO_GLIB", "1");
    QCoreApplication application(argc, argv);
    LogSink sink;
    logFaults(settings);
    RelayDaemon daemon(settings.settings, protocols);
    daemon.settingsRead(settings);
    if (const auto started = daemon.start(); !started)
        return reportError(started.error().detail);

    QSocketNotifier notifier(signalPipe[0], QSocketNotifier::Read);
    QObject::connect(&notifier, &QSocketNotifier::activated, &application, [&] {
        char number = 0;
        (void)!read(signalPipe[0], &number, 1);
        if (number == SIGHUP)
            reload(daemon, path);
        else
            shutDown(daemon, path);
    });
    return QCoreApplication::exec();
}

} // namespace cranberry
