// Tests that a process that crashes writes its buffered log lines and its stack trace.
#define BOOST_TEST_MODULE CrashReport
#include <boost/test/unit_test.hpp>

#include "base/CrashReport.h"
#include "base/EventLog.h"
#include "base/LogSink.h"
#include "support/EventLoop.h"

#include <QFile>
#include <QTemporaryDir>

#include <csignal>
#include <fcntl.h>
#include <limits>
#include <sys/wait.h>
#include <unistd.h>

using namespace cranberry;
using namespace cranberry::test;

namespace {

constexpr int ExitWithoutCrash = 1;

struct CrashedProcess {
    int signal = 0;
    QByteArray output;
    QByteArray errors;
};

void redirect(int descriptor, const QString &path)
{
    const int file = ::open(qPrintable(path), O_CREAT | O_WRONLY | O_CLOEXEC, 0600);
    (void)::dup2(file, descriptor);
}

QByteArray contentOf(const QString &path)
{
    QFile file(path);
    return file.open(QIODevice::ReadOnly) ? file.readAll() : QByteArray();
}

/// Runs @p crash in a child process that has just logged a line.
CrashedProcess runAndCrash(void (*crash)())
{
    ensureApplication();
    const QTemporaryDir folder;
    const QString output = folder.filePath(QStringLiteral("out"));
    const QString errors = folder.filePath(QStringLiteral("err"));
    const pid_t child = ::fork();
    if (child == 0) {
        redirect(STDOUT_FILENO, output);
        redirect(STDERR_FILENO, errors);
        // Boost.Test installs its own handler of this signal.
        std::signal(SIGSEGV, SIG_DFL);
        installCrashReport();
        const LogSink sink;
        logEvent(LogLevel::Info, EventId::DaemonReady, {{"vm", QStringLiteral("last-words")}});
        crash();
        ::_exit(ExitWithoutCrash);
    }
    int status = 0;
    BOOST_REQUIRE(::waitpid(child, &status, 0) == child);
    return {WIFSIGNALED(status) ? WTERMSIG(status) : 0, contentOf(output), contentOf(errors)};
}

/// Volatile, so that the compiler predicts neither crash.
volatile int *volatile invalidAddress = nullptr;
volatile int depthLimit = std::numeric_limits<int>::max();

[[gnu::noinline]] void accessInvalidAddress()
{
    *invalidAddress = 1;
}

[[gnu::noinline]] int overflowStack(int depth)
{
    volatile char frameBlock[4096] = {};
    frameBlock[0] = char(depth);
    return depth == depthLimit ? 0 : overflowStack(depth + 1) + frameBlock[0];
}

void overflow()
{
    (void)overflowStack(0);
}

void checkReport(const CrashedProcess &process, const char *function)
{
    BOOST_TEST(process.signal == SIGSEGV);
    BOOST_TEST_INFO(process.output.constData());
    BOOST_TEST(process.output.count("vm=last-words") == 1);
    BOOST_TEST_INFO(process.errors.constData());
    BOOST_TEST(process.errors.contains("SIGSEGV"));
    BOOST_TEST_INFO(process.errors.constData());
    BOOST_TEST(process.errors.contains(function));
}

} // namespace

// Guards against a daemon that ends with a segmentation fault and leaves neither the last 50 ms of
// its log nor a stack trace.
BOOST_AUTO_TEST_CASE(InvalidAccessLeavesBufferedLinesAndStack)
{
    checkReport(runAndCrash(accessInvalidAddress), "accessInvalidAddress");
}

// A signal handler on the stack that has overflowed cannot run, and nothing would be reported.
BOOST_AUTO_TEST_CASE(StackOverflowLeavesBufferedLinesAndStack)
{
    checkReport(runAndCrash(overflow), "overflowStack");
}
