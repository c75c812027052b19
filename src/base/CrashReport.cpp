#include "base/CrashReport.h"

#include "base/LogSink.h"

#include <glog/logging.h>

#include <array>
#include <csignal>
#include <cstddef>
#include <unistd.h>

namespace cranberry {

namespace {

/// Size of the alternate signal stack; unwinding and symbolizing need about 10 KB.
constexpr std::size_t SignalStackBytes = 256 * 1024;
constexpr std::array FatalSignals{SIGSEGV, SIGBUS, SIGILL, SIGFPE, SIGABRT};

alignas(16) std::array<char, SignalStackBytes> alternateStack;

/// Called by the signal handler with each part of the report; must be async-signal-safe.
void writeReport(const char *data, std::size_t size)
{
    if (LogSink *sink = LogSink::current())
        sink->writeAfterCrash();
    (void)!::write(STDERR_FILENO, data, size);
}

void enableAlternateStack(int signalNumber)
{
    struct sigaction action = {};
    ::sigaction(signalNumber, nullptr, &action);
    action.sa_flags |= SA_ONSTACK;
    ::sigaction(signalNumber, &action, nullptr);
}

} // namespace

void installCrashReport()
{
    google::InstallFailureSignalHandler();
    google::InstallFailureWriter(writeReport);
    stack_t stack = {};
    stack.ss_sp = alternateStack.data();
    stack.ss_size = alternateStack.size();
    ::sigaltstack(&stack, nullptr);
    for (const int signalNumber : FatalSignals)
        enableAlternateStack(signalNumber);
}

} // namespace cranberry
