// Defines helpers that let a test wait for something inside a Qt event loop.
#pragma once

#include <chrono>
#include <functional>

namespace cranberry::test {

/// Makes the one QCoreApplication of a test program, if there is none yet.
void ensureApplication();

/// Runs the event loop until @p condition holds. False if @p limit passes first; the limit
/// only bounds a hang, no test asserts a duration.
bool waitFor(const std::function<bool()> &condition,
             std::chrono::milliseconds limit = std::chrono::seconds(30));

} // namespace cranberry::test
