#include "base/LogSink.h"

#include <QTimer>

#include <atomic>
#include <mutex>
#include <poll.h>
#include <unistd.h>

namespace cranberry {

namespace {

/// Some seconds of lines of a busy daemon.
constexpr qsizetype BufferBytes = 256 * 1024;
/// Lines are written together, as each write is a system call.
constexpr int FlushMilliseconds = 50;
/// A pipe that poll() calls writable takes this much without blocking.
constexpr qsizetype AtOnce = 4096;

std::atomic<LogSink *> inUse{nullptr};

bool takesMore()
{
    pollfd output{STDOUT_FILENO, POLLOUT, 0};
    return ::poll(&output, 1, 0) == 1 && (output.revents & POLLOUT) != 0;
}

/// Writes as much of @p bytes as standard output takes without blocking; returns how much.
qsizetype writeAvailable(const char *bytes, qsizetype size)
{
    qsizetype written = 0;
    while (written < size && takesMore()) {
        const qsizetype part = std::min(AtOnce, size - written);
        const ssize_t count = ::write(STDOUT_FILENO, bytes + written, size_t(part));
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
    m_timer->start(FlushMilliseconds);
    inUse = this;
}

LogSink::~LogSink()
{
    inUse = nullptr;
    flush();
}

LogSink *LogSink::current()
{
    return inUse;
}

void LogSink::append(const QByteArray &line, bool isImportant)
{
    const std::lock_guard<std::mutex> lock(m_buffer->mutex);
    const qsizetype bound = isImportant ? BufferBytes : BufferBytes / 2;
    if (m_buffer->bytes.size() + line.size() > bound) {
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
    // Stays locked: what is written here must not be written again.
    if (!m_buffer->mutex.try_lock())
        return;
    const QByteArray &bytes = m_buffer->bytes;
    writeAvailable(bytes.constData(), bytes.size());
}

} // namespace cranberry
