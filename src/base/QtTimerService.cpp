#include "base/QtTimerService.h"

#include "base/TimerSubscription.h"

#include <QTimer>

namespace cranberry {

namespace {

class QtTimerSubscription final : public TimerSubscription
{
public:
    QtTimerSubscription(Milliseconds interval, bool once, TimerService::Callback callback)
        : m_timer(new QTimer)
    {
        m_timer->setSingleShot(once);
        m_timer->setTimerType(Qt::PreciseTimer);
        QObject::connect(m_timer, &QTimer::timeout, m_timer, std::move(callback));
        m_timer->start(interval);
    }

    ~QtTimerSubscription() override
    {
        // A running callback may own and destroy this subscription, so the timer, which holds
        // the callback, must outlive the callback.
        m_timer->stop();
        m_timer->disconnect();
        m_timer->deleteLater();
    }

private:
    QTimer *m_timer;
};

} // namespace

MonotonicTime QtTimerService::now() const
{
    return std::chrono::steady_clock::now();
}

std::unique_ptr<TimerSubscription> QtTimerService::every(Milliseconds interval, Callback callback)
{
    return std::make_unique<QtTimerSubscription>(interval, false, std::move(callback));
}

std::unique_ptr<TimerSubscription> QtTimerService::after(Milliseconds delay, Callback callback)
{
    return std::make_unique<QtTimerSubscription>(delay, true, std::move(callback));
}

} // namespace cranberry
