#pragma once

#include <QByteArray>

#include <memory>

class QTimer;

namespace cranberry {

/// Non-blocking writer of log lines to standard output. While a sink exists, logEvent() passes its
/// lines to it. Lines are kept in a bounded buffer and written when standard output is writable, so
/// that a slow or absent reader never blocks a request. Lines above the limit are dropped, less
/// important ones first; a separate log line reports their number.
/// Thread safety: append() from any thread; construction and destruction in the main thread,
/// which runs an event loop.
class LogSink
{
public:
    LogSink();
    ~LogSink();
    LogSink(const LogSink &) = delete;
    LogSink &operator=(const LogSink &) = delete;

    /// Adds one line without its line end. Important lines may fill the whole buffer, other lines
    /// only half of it.
    void append(const QByteArray &line, bool isImportant);

    /// Writes the buffered lines without a change to the buffer. Writes nothing if the crash
    /// interrupted an operation that holds the lock, such as append(), or if called again.
    /// Async-signal-safe; only for a process that is about to terminate.
    void writeAfterCrash();

    /// The current sink; null if there is none. Thread-safe.
    static LogSink *current();

private:
    void flush();

    struct Buffer;
    std::unique_ptr<Buffer> m_buffer;
    std::unique_ptr<QTimer> m_timer;
};

} // namespace cranberry
