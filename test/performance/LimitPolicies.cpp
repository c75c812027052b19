// Compares ways in which daemons share the rate limit of a target, in virtual time.
#include "support/LimitSimulation.h"

#include <algorithm>
#include <cstdio>

using namespace cranberry;

namespace {

constexpr unsigned Seeds = 20;

void printRow(const char *policy, const char *demand, const test::LimitScenario &scenario)
{
    double use = 0;
    double lowestUse = 1000;
    int mostInWindow = 0;
    double messagesPerSecond = 0;
    for (unsigned seed = 1; seed <= Seeds; ++seed) {
        const test::LimitOutcome outcome = test::simulateLimit(scenario, seed);
        use += outcome.use / Seeds;
        lowestUse = std::min(lowestUse, outcome.use);
        mostInWindow = std::max(mostInWindow, outcome.mostInWindow);
        const std::chrono::duration<double> time = scenario.duration;
        messagesPerSecond += outcome.messages / time.count() / Seeds;
    }
    std::printf("| %s | %d | %.1f | %s | %.2f (%.2f) | %d of %d | %.0f |\n", policy,
                scenario.daemons, scenario.perSecond, demand, use, lowestUse, mostInWindow,
                int(1.5 * scenario.perSecond * 4) + 5, messagesPerSecond);
}

} // namespace

int main()
{
    std::printf("| policy | daemons | limit a second | demand | use (least) | worst 4 s | messages "
                "a second |\n|---|---|---|---|---|---|---|\n");
    for (const int daemons : {9, 40, 300}) {
        for (const double perSecond : {0.5, 2.8, 20.0}) {
            for (const double share : {0.1, 0.9}) {
                test::LimitScenario scenario;
                scenario.daemons = daemons;
                scenario.perSecond = perSecond;
                scenario.demand = std::max(3 * perSecond, 20.0);
                scenario.shareOfFirstTenth = share;
                const char *demand = share < 0.5 ? "even" : "90% at a tenth of the daemons";
                scenario.policy = test::LimitPolicy::EqualParts;
                printRow("equal parts", demand, scenario);
                scenario.policy = test::LimitPolicy::Permits;
                printRow("permits", demand, scenario);
            }
        }
    }
    return 0;
}
