#pragma once

#include <QObject>
#include <QPointer>

#include <functional>
#include <memory>

class QThreadPool;

namespace cranberry {

/// Runs long computations on pool threads, so that they do not block the event loop, and returns
/// their results to the event loop of the thread that created the pool.
class WorkerPool : public QObject
{
public:
    /// Precondition: @p threads is at least 1; an event loop runs in the calling thread.
    explicit WorkerPool(int threads, QObject *parent = nullptr);
    /// Waits for work that has started and discards its result; work that has not started is
    /// discarded.
    ~WorkerPool() override;

    /// Runs @p work on a pool thread, then @p done with its result in the thread of the pool
    /// object.
    /// @p done is not called if @p receiver was destroyed before. Only from the thread of the pool
    /// object. Precondition: @p work accesses only data that it owns or thread-safe tables.
    template <typename Work, typename Done>
    void run(QObject *receiver, Work work, Done done);

private:
    void start(std::function<void()> job);

    QThreadPool *m_threads;
};

// The destructor waits for started work, so `this` is valid on the pool thread.
template <typename Work, typename Done>
void WorkerPool::run(QObject *receiver, Work work, Done done)
{
    start([receiver = QPointer<QObject>(receiver), this, work = std::move(work),
           done = std::move(done)]() mutable {
        auto value = std::make_shared<decltype(work())>(work());
        QMetaObject::invokeMethod(
            this,
            [receiver, value, done = std::move(done)]() mutable {
                if (receiver)
                    done(std::move(*value));
            },
            Qt::QueuedConnection);
    });
}

} // namespace cranberry
