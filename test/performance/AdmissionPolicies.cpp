// Prints the figures of docs/design/0038-admission-order.md and 0039-workspace-shares.md.
#include "support/AdmissionSimulation.h"

#include <algorithm>
#include <iomanip>
#include <iostream>
#include <string>

using namespace cranberry::test;
using namespace std::chrono_literals;

namespace {

constexpr unsigned Seeds = 3;

/// Prints the least value of each figure.
void print(const std::string &name, const AdmissionScenario &scenario)
{
    std::vector<double> least(scenario.groups.size(), 1);
    double work = 1;
    double datagrams = 0;
    for (unsigned seed = 1; seed <= Seeds; ++seed) {
        const AdmissionOutcome outcome = simulateAdmission(scenario, seed);
        for (size_t group = 0; group < least.size(); ++group)
            least[group] = std::min(least[group], outcome.onTime[group]);
        work = std::min(work, outcome.workDone);
        datagrams = std::max(datagrams, outcome.datagrams);
    }
    // Groups after the second are further small workspaces.
    const double second = *std::min_element(least.begin() + 1, least.end());
    std::cout << std::fixed << std::setprecision(2) << "| " << name << " | " << scenario.daemons
              << " | " << least[0] << " | " << second << " | " << work << " | "
              << std::setprecision(0) << datagrams << " |" << std::endl;
}

} // namespace

int main()
{
    AdmissionScenario scenario;
    scenario.duration = 8s;
    const char *const orders[] = {"race", "threshold", "reports"};
    const char *const returns[] = {"one time", "hash window", "promises"};
    const std::vector<CallerGroup> urgent{{0.6, 0, 1}, {0.9, 2, 1}};
    const std::vector<CallerGroup> workspaces{{1.1, 1, 1},  {0.08, 1, 2}, {0.08, 1, 3},
                                              {0.08, 1, 4}, {0.08, 1, 5}, {0.08, 1, 6}};
    const std::vector<CallerGroup> returning{{0.28, 1, 1, CallerKind::RetriesAtOnce},
                                             {1.12, 1, 1, CallerKind::RetriesWhenTold}};
    for (const int daemons : {2, 12, 75}) {
        scenario.daemons = daemons;
        scenario.targets = daemons > 12 ? 12 : 6;
        for (int order = 0; order < 3; ++order) {
            scenario.order = OrderPolicy(order);
            scenario.returns = order == 2 ? ReturnPolicy::Promises : ReturnPolicy::OneTime;
            scenario.groups = urgent;
            print(std::string("urgent, ") + orders[order], scenario);
            scenario.groups = workspaces;
            print(std::string("workspaces, ") + orders[order], scenario);
        }
        scenario.groups = returning;
        for (int policy = 0; policy < 3; ++policy) {
            scenario.returns = ReturnPolicy(policy);
            print(std::string("returns, ") + returns[policy], scenario);
        }
        scenario.keepsIdleTime = true;
        print("returns, promises, idle time kept", scenario);
        scenario.keepsIdleTime = false;
    }
    // One data centre of a large fleet.
    scenario.daemons = 160;
    scenario.groups = urgent;
    for (const int targets : {10, 20}) {
        scenario.targets = targets;
        for (const bool keeps : {false, true}) {
            scenario.keepsIdleTime = keeps;
            print("urgent, reports, " + std::to_string(targets) + " targets"
                      + (keeps ? ", idle time kept" : ""),
                  scenario);
        }
    }
    return 0;
}
