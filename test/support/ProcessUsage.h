// Defines what a benchmark reads of its own process and of the machine.
#pragma once

#include <sys/resource.h>

#include <fstream>

namespace cranberry::test {

/// Processor time of this process so far.
inline double processorSeconds()
{
    constexpr double MicrosecondsPerSecond = 1e6;
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    const auto seconds = [](const timeval &time) {
        return double(time.tv_sec) + double(time.tv_usec) / MicrosecondsPerSecond;
    };
    return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

/// Most memory that this process has had resident.
inline double residentKilobytes()
{
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    return double(usage.ru_maxrss);
}

/// The machine's load over the last minute.
inline double loadAverage()
{
    std::ifstream file("/proc/loadavg");
    double load = 0;
    file >> load;
    return load;
}

} // namespace cranberry::test
