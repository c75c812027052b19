// Defines LogSink, the bounded way of log lines to standard output.
#pragma once

#include <QByteArray>

#include <memory>

class QTimer;

namespace cranberry {

/// While it exists, logEvent() hands its lines to it. They are kept in a bounded buffer and
/// written when standard output takes them, so that a reader that is slow or gone never blocks a
/// request. Lines over the bound are dropped, the less important ones first, and counted in a
/// line of their own.
/// Thread safety: append() from any thread; construction and destruction in the main thread,
/// which runs an event loop.
class LogSink
{
public:
    LogSink();
    ~LogSink();
    LogSink(const LogSink &) = delete;
    LogSink &operator=(const LogSink &) = delete;

    /// Takes one line without its end. Important lines may fill the whole buffer, others half.
    void append(const QByteArray &line, bool isImportant);

    /// Writes what is buffered and leaves the buffer as it is; nothing if the crash interrupted an
    /// append(). A second call does nothing. Async-signal-safe; only for a process that is about to
    /// end.
    void writeAfterCrash();

    /// The sink in use; null if there is none.
    static LogSink *current();

private:
    void flush();

    struct Buffer;
    std::unique_ptr<Buffer> m_buffer;
    std::unique_ptr<QTimer> m_timer;
};

} // namespace cranberry
