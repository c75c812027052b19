#pragma once

namespace cranberry {

/// Installs a handler for fatal signals. It first writes the lines that LogSink still buffers to
/// standard output and then the stack of the main thread to standard error. The handler runs on an
/// alternate stack, because an overflowed stack has no space for it.
/// Thread safety: only from the main thread, once.
void installCrashReport();

} // namespace cranberry
