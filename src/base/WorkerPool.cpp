#include "base/WorkerPool.h"

#include <QThreadPool>

namespace cranberry {

WorkerPool::WorkerPool(int threads, QObject *parent)
    : QObject(parent)
    , m_threads(new QThreadPool(this))
{
    m_threads->setMaxThreadCount(threads);
}

WorkerPool::~WorkerPool()
{
    m_threads->clear();
    m_threads->waitForDone();
}

void WorkerPool::start(std::function<void()> job)
{
    m_threads->start(std::move(job));
}

} // namespace cranberry
