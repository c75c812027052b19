#pragma once

#include <QtGlobal>

namespace cranberry {

/// An integer typed by its unit @p Tag, so that different units cannot be mixed up.
/// Thread safety: a value type; distinct objects may be used from distinct threads.
template <typename Tag>
class StrongNumber
{
public:
    constexpr StrongNumber() = default;
    constexpr explicit StrongNumber(qint64 value)
        : m_value(value)
    {
    }

    constexpr qint64 value() const { return m_value; }

    constexpr StrongNumber &operator+=(StrongNumber other)
    {
        m_value += other.m_value;
        return *this;
    }
    constexpr StrongNumber &operator-=(StrongNumber other)
    {
        m_value -= other.m_value;
        return *this;
    }
    friend constexpr StrongNumber operator+(StrongNumber a, StrongNumber b) { return a += b; }
    friend constexpr StrongNumber operator-(StrongNumber a, StrongNumber b) { return a -= b; }
    friend constexpr bool operator==(StrongNumber a, StrongNumber b)
    {
        return a.m_value == b.m_value;
    }
    friend constexpr bool operator!=(StrongNumber a, StrongNumber b)
    {
        return a.m_value != b.m_value;
    }
    friend constexpr bool operator<(StrongNumber a, StrongNumber b)
    {
        return a.m_value < b.m_value;
    }
    friend constexpr bool operator<=(StrongNumber a, StrongNumber b)
    {
        return a.m_value <= b.m_value;
    }
    friend constexpr bool operator>(StrongNumber a, StrongNumber b) { return b < a; }
    friend constexpr bool operator>=(StrongNumber a, StrongNumber b) { return b <= a; }

private:
    qint64 m_value = 0;
};

} // namespace cranberry
