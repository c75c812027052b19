#pragma once

#include <functional>

namespace cranberry {

/// A request that waits for permission to run. Destroying it gives up the wait.
/// Thread safety: only from the thread of the event loop.
class CrashHold
{
public:
    explicit CrashHold(std::function<void()> release)
        : m_release(std::move(release))
    {
    }
    ~CrashHold() { m_release(); }
    CrashHold(const CrashHold &) = delete;
    CrashHold &operator=(const CrashHold &) = delete;

private:
    std::function<void()> m_release;
};

} // namespace cranberry
