// Defines SoakRun, one seeded run of daemons under faults.
#pragma once

#include "soak/FaultProxy.h"
#include "standins/users/PromiseChecks.h"
#include "support/PlatformSite.h"

#include <memory>
#include <random>
#include <vector>

namespace cranberry::soak {

struct SoakOptions {
    quint32 seed = 1;
    std::chrono::seconds duration{20};
    int daemons = 3;
    int engines = 4;
};

/// Starts daemons as processes, lets clients ask all the while, and harms links, runners, store
/// and processes in series that overlap. It ends only processes that it started.
/// Thread safety: only from its own thread.
class SoakRun
{
public:
    explicit SoakRun(const SoakOptions &options);
    ~SoakRun();

    /// Runs to the end and returns what was promised and not kept.
    const standin::PromiseChecks &run();

private:
    struct Pending {
        QByteArray id;
        std::shared_ptr<test::ClientCall> call;
        bool hasEnoughEvents = false;
    };

    int draw(int most) { return int(m_random() % quint32(most)); }
    void addEngine();
    void ask();
    void collect();
    void harm();
    void harmDaemon();
    void harmStore();
    void harmEngine();
    void mend();

    SoakOptions m_options;
    std::mt19937 m_random;
    standin::PromiseChecks m_checks;
    test::PlatformSite m_site;
    std::vector<standin::RunnerEmulator *> m_engines;
    std::vector<standin::RunnerEmulator *> m_plain;
    std::vector<std::unique_ptr<FaultProxy>> m_proxies;
    std::vector<Pending> m_pending;
    std::vector<bool> m_paused;
    int m_asked = 0;
    int m_version = 1;
};

} // namespace cranberry::soak
