#include "support/FleetProcess.h"

#include "support/EventLoop.h"

#include <QFile>

#include <csignal>
#include <cstdio>
#include <sys/prctl.h>

namespace cranberry::test {

namespace {

constexpr int KillWaitMs = 10'000;

QByteArray fileContents(const QString &name)
{
    QFile file(name);
    return file.open(QIODevice::ReadOnly) ? file.readAll() : QByteArray();
}

} // namespace

FleetProcess::FleetProcess(const QString &program, const QStringList &arguments,
                           const QString &outputBase)
    : m_outputBase(outputBase)
{
    m_process.setStandardOutputFile(outputBase + QStringLiteral(".out"));
    m_process.setStandardErrorFile(outputBase + QStringLiteral(".err"));
    m_process.setChildProcessModifier([] { ::prctl(PR_SET_PDEATHSIG, SIGKILL); });
    m_process.start(QStringLiteral(CRANBERRY_PROGRAM_DIRECTORY "/") + program, arguments);
}

FleetProcess::~FleetProcess()
{
    kill();
}

bool FleetProcess::waitReady()
{
    const bool ready = waitFor(
        [this] { return readReadyLine(output()) || readReadyLine(errorOutput()) || !isRunning(); });
    if (ready && !m_ports.isEmpty())
        return true;
    std::fprintf(stderr, "%s is not ready: %s\n%s\n", qPrintable(m_process.program()),
                 qPrintable(m_process.errorString()), errorOutput().constData());
    return false;
}

bool FleetProcess::readReadyLine(const QByteArray &text)
{
    const QByteArray mark = "ready ";
    const qsizetype start = text.startsWith(mark) ? 0 : text.indexOf("\n" + mark);
    const qsizetype end = text.indexOf('\n', start + 1);
    if (start < 0 || end < 0)
        return false;
    const QList<QByteArray> words = text.mid(start, end - start).trimmed().split(' ');
    for (const QByteArray &word : words) {
        const qsizetype equals = word.indexOf('=');
        if (equals > 0)
            m_ports.insert(word.left(equals), word.mid(equals + 1).toUShort());
    }
    return !m_ports.isEmpty();
}

void FleetProcess::signal(int signal)
{
    if (isRunning())
        ::kill(pid_t(m_process.processId()), signal);
}

void FleetProcess::kill()
{
    if (!isRunning())
        return;
    m_process.kill();
    m_process.waitForFinished(KillWaitMs);
}

void FleetProcess::terminate()
{
    signal(SIGTERM);
}

void FleetProcess::pause()
{
    signal(SIGSTOP);
}

void FleetProcess::resume()
{
    signal(SIGCONT);
}

bool FleetProcess::isRunning()
{
    return m_process.state() != QProcess::NotRunning;
}

bool FleetProcess::waitEnded()
{
    return waitFor([this] { return !isRunning(); });
}

QByteArray FleetProcess::output() const
{
    return fileContents(m_outputBase + QStringLiteral(".out"));
}

QByteArray FleetProcess::errorOutput() const
{
    return fileContents(m_outputBase + QStringLiteral(".err"));
}

} // namespace cranberry::test
