// Defines FleetProcess, one program that a test started.
#pragma once

#include <QByteArray>
#include <QHash>
#include <QProcess>
#include <QString>
#include <QStringList>

namespace cranberry::test {

/// Runs one of the project's programs; its output goes to files, so that it never waits for
/// the test to read it. The process is killed with the object, and when the test dies.
/// Thread safety: only from one thread.
class FleetProcess
{
public:
    /// Starts @p program from the build's program folder. Precondition: @p outputBase names
    /// files in an existing folder: its output goes to @p outputBase with ".out" and ".err".
    FleetProcess(const QString &program, const QStringList &arguments, const QString &outputBase);
    ~FleetProcess();
    FleetProcess(const FleetProcess &) = delete;
    FleetProcess &operator=(const FleetProcess &) = delete;

    /// Waits for the line "ready NAME=PORT ..."; false if the process ends before.
    bool waitReady();
    /// The port that the ready line gave @p name; 0 if it gave none.
    quint16 port(const QByteArray &name) const { return m_ports.value(name); }

    /// Sends @p signal to the process, if it runs.
    void signal(int signal);
    /// SIGKILL, and waits until it is gone.
    void kill();
    /// SIGTERM; it may finish its work first.
    void terminate();
    /// SIGSTOP: the process is paused with all its connections open.
    void pause();
    /// SIGCONT.
    void resume();

    /// The id of the process, for what the system tells of it.
    qint64 id() const { return m_process.processId(); }

    bool isRunning();
    /// Waits until the process has ended by itself.
    bool waitEnded();
    /// Precondition: it has ended.
    int exitCode() const { return m_process.exitCode(); }

    QByteArray output() const;
    QByteArray errorOutput() const;

private:
    bool readReadyLine(const QByteArray &text);

    QString m_outputBase;
    QProcess m_process;
    QHash<QByteArray, quint16> m_ports;
};

} // namespace cranberry::test
