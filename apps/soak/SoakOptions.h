#pragma once

#include <QtGlobal>

#include <chrono>

namespace cranberry::soak {

/// Parameters of a soak run.
struct SoakOptions {
    quint32 seed = 1;
    std::chrono::seconds duration{20};
    int daemons = 3;
    int engines = 4;
};

} // namespace cranberry::soak
