#include "base/CrashReport.h"

#include "base/LogSink.h"

#include <glog/logging.h>

#include <array>
#include <csignal>
#include <cstddef>
#include <unistd.h>

namespace cranberry {

namespace {

/// Unwinding and symbolizing take some ten KB.
constexpr std::size_t StackBytes = 256 * 1024;
constexpr std::array FatalSignals{SIGSEGV, SIGBUS, SIGILL, SIGFPE, SIGABRT};

alignas(16) std::array<char, StackBytes> alternateStack;

/// Called in the handler with each part of the report. Only async-signal-safe calls are allowed.
void writeReport(const char *data, std::size_t size)
{
    if (LogSink *sink = LogSink::current())
        sink->writeAfterCrash();
    (void)!::write(STDERR_FILENO, data, size);
}

void handleOnAlternateStack(int number)
{
    struct sigaction action = {};
    ::sigaction(number, nullptr, &action);
    action.sa_flags |= SA_ONSTACK;
    ::sigaction(number, &action, nullptr);
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
    for (const int number : FatalSignals)
        handleOnAlternateStack(number);
}

} // namespace cranberry
