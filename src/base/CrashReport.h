// Defines installCrashReport, by which a process that crashes leaves its last log lines and its
// stack.
#pragma once

namespace cranberry {

/// From now on a fatal signal first writes the lines that LogSink still buffers to standard output
/// and then the stack of the main thread to standard error. The signal is handled on a stack of its
/// own, because one that has overflowed has no room for a handler.
/// Thread safety: only from the main thread, once.
void installCrashReport();

} // namespace cranberry
