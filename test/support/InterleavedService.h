// Defines InterleavedService, where calls and messages take effect in an order drawn by a seed.
#pragma once

#include "standins/platform/KeyValueTable.h"

#include <functional>
#include <random>
#include <vector>

namespace cranberry::test {

/// What several stores and peer networks of one test share. Nothing happens by itself: each
/// runOne() lets one step happen, drawn from all that may happen next.
/// Thread safety: one thread.
class InterleavedService
{
public:
    using Step = std::function<void()>;

    explicit InterleavedService(unsigned seed)
        : m_random(seed)
    {
    }

    void post(Step step) { m_steps.push_back(std::move(step)); }

    /// False if there is nothing left to happen.
    bool runOne()
    {
        if (m_steps.empty())
            return false;
        const size_t chosen = draw(m_steps.size());
        std::swap(m_steps[chosen], m_steps.back());
        const Step step = std::move(m_steps.back());
        m_steps.pop_back();
        step();
        return true;
    }

    /// A number from 0 to @p bound - 1.
    size_t draw(size_t bound)
    {
        return std::uniform_int_distribution<size_t>(0, bound - 1)(m_random);
    }

    standin::KeyValueTable table;

private:
    std::mt19937 m_random;
    std::vector<Step> m_steps;
};

} // namespace cranberry::test
