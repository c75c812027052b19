#include "base/LogSink.h"

#include <QTimer>

#include <atomic>
#include <mutex>
#include <poll.h>
#include <unistd.h>

namespace cranberry {

namespace {

/// Holds several seconds of log lines of a busy daemon.
constexpr qsizetype MaxBufferedBytes = 256 * 1024;
/// Lines are written in batches, because each write is a system call.
constexpr int FlushIntervalMs = 50;
/// Number of bytes that a pipe accepts without blocking when poll() reports it as writable.
constexpr qsizetype MaxWriteBytes = 4096;

std::atomic<LogSink *> currentSink{nullptr};

bool isOutputWritable()
{
    pollfd output{STDOUT_FILENO, POLLOUT, 0};
    return ::poll(&output, 1, 0) == 1 && (output.revents & POLLOUT) != 0;
}

/// Writes as much of @p bytes as standard output accepts without blocking; returns the number of
/// bytes written.
qsizetype writeAvailable(const char *bytes, qsizetype size)
{
    qsizetype written = 0;
    while (written < size && isOutputWritable()) {
        const qsizetype chunkSize = std::min(MaxWriteBytes, size - written);
        const ssize_t count = ::write(STDOUT_FILENO, bytes + written, size_t(chunkSize));
        if (count <= 0)
            break;
        written += count;
    }
    return written;
}

} // namespace

struct LogSink::Buffer {
    std::mutex mutex;
    QByteArray bytes;
    qint64 dropped = 0;
};

LogSink::LogSink()
    : m_buffer(std::make_unique<Buffer>())
    , m_timer(std::make_unique<QTimer>())
{
    QObject::connect(m_timer.get(), &QTimer::timeout, m_timer.get(), [this] { flush(); });
    m_timer->start(FlushIntervalMs);
    currentSink = this;
}

LogSink::~LogSink()
{
    currentSink = nullptr;
    flush();
}

LogSink *LogSink::current()
{
    return currentSink;
}

void LogSink::append(const QByteArray &line, bool isImportant)
{
    const std::lock_guard<std::mutex> lock(m_buffer->mutex);
    const qsizetype limit = isImportant ? MaxBufferedBytes : MaxBufferedBytes / 2;
    if (m_buffer->bytes.size() + line.size() > limit) {
        ++m_buffer->dropped;
        return;
    }
    m_buffer->bytes += line;
    m_buffer->bytes += '\n';
}

void LogSink::flush()
{
    const std::lock_guard<std::mutex> lock(m_buffer->mutex);
    QByteArray &bytes = m_buffer->bytes;
    const qsizetype written = writeAvailable(bytes.constData(), bytes.size());
    bytes.remove(0, written);
    if (bytes.isEmpty() && m_buffer->dropped > 0) {
        bytes = "event=1006 name=log.dropped lines=" + QByteArray::number(m_buffer->dropped) + '\n';
        m_buffer->dropped = 0;
    }
}

void LogSink::writeAfterCrash()
{
    // The mutex stays locked, so that the lines written here are not written again.
    if (!m_buffer->mutex.try_lock())
        return;
    const QByteArray &bytes = m_buffer->bytes;
    writeAvailable(bytes.constData(), bytes.size());
}

} // namespace cranberry
