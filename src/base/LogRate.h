#pragma once

#include "base/Units.h"

#include <QtGlobal>

#include <algorithm>
#include <utility>

namespace cranberry {

/// Limits how many log lines of one kind are written per second, and counts the others.
/// Thread safety: none.
class LogRate
{
public:
    explicit LogRate(int linesPerSecond)
        : m_linesPerSecond(linesPerSecond)
        , m_allowance(linesPerSecond)
    {
    }

    /// Whether a line may be written at @p now; counts it as omitted if not.
    bool mayWrite(MonotonicTime now)
    {
        const double seconds = std::chrono::duration<double>(now - m_updatedAt).count();
        m_updatedAt = now;
        m_allowance = std::min(m_allowance + seconds * m_linesPerSecond, double(m_linesPerSecond));
        if (m_allowance < 1) {
            ++m_omitted;
            return false;
        }
        m_allowance -= 1;
        return true;
    }
    /// Lines omitted since the last call.
    qint64 takeOmitted() { return std::exchange(m_omitted, 0); }

private:
    const int m_linesPerSecond;
    double m_allowance;
    MonotonicTime m_updatedAt;
    qint64 m_omitted = 0;
};

} // namespace cranberry
