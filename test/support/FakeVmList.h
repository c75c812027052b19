// Defines FakeVmList, a platform that only knows a list of VMs and counts its reads.
#pragma once

#include "base/TimerService.h"
#include "base/TimerSubscription.h"
#include "platformstore/KeyValueStore.h"

#include <list>

namespace cranberry::test {

/// Thread safety: only from the thread of its timers.
class FakeVmList final : public KeyValueStore
{
public:
    explicit FakeVmList(TimerService &timers)
        : m_timers(timers)
    {
    }

    QList<ListedVm> vms;
    int reads = 0;
    bool down = false;

    void listVms(VmsCallback callback) override
    {
        ++reads;
        m_answers.push_back(m_timers.after(Milliseconds(0), [this, callback] {
            if (down)
                callback(Error{ErrorKind::PlatformUnavailable, Ran::No, {}, {}, {}});
            else
                callback(vms);
        }));
    }

    void read(const QString &, ReadCallback) override { }
    void list(const QString &, ListCallback) override { }
    void compareAndSwap(const QString &, Revision, const QByteArray &, std::optional<LeaseId>,
                        SwapCallback) override
    {
    }
    void remove(const QString &, Revision, SwapCallback) override { }
    void watch(const QString &, Revision, Milliseconds, ListCallback) override { }
    void grantLease(Milliseconds, LeaseCallback) override { }
    void renewLease(LeaseId, LeaseCallback) override { }

private:
    TimerService &m_timers;
    std::list<std::unique_ptr<TimerSubscription>> m_answers;
};

} // namespace cranberry::test
