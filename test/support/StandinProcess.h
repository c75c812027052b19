// Defines StandinProcess, a stand-in of an outside system as a process of its own.
#pragma once

#include "base/QtTimerService.h"
#include "http/HttpClient.h"

#include <QJsonObject>
#include <QProcess>

namespace cranberry::test {

/// Starts bin/standin-NAME on a free port of 127.0.0.1 and ends it when destroyed.
/// Thread safety: only from its own thread.
class StandinProcess
{
public:
    /// Returns once the stand-in is ready; ends the test if it does not become so.
    explicit StandinProcess(const QString &name, const QStringList &arguments = {});
    ~StandinProcess();

    HttpEndpoint endpoint() const { return {QStringLiteral("127.0.0.1"), m_port}; }
    QString url() const { return QStringLiteral("http://127.0.0.1:%1").arg(m_port); }

    /// Sets the faults named in @p faults and returns those in force.
    QJsonObject setFaults(const QJsonObject &faults);

    /// Sends a request and waits for the answer; empty if there was none.
    QJsonObject call(const QByteArray &method, const QByteArray &path,
                     const QJsonObject &body = {});

    /// Suspends the process (SIGSTOP) and lets it run on (SIGCONT).
    void pause();
    void resume();

private:
    QProcess m_process;
    quint16 m_port = 0;
    QtTimerService m_timers;
    HttpClient m_client{m_timers};
};

} // namespace cranberry::test
