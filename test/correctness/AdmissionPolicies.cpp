// Tests the decisions of admission control in simulated fleets under overload.
#define BOOST_TEST_MODULE AdmissionPolicies
#include <boost/test/unit_test.hpp>

#include "support/AdmissionSimulation.h"

#include <algorithm>
#include <iostream>

using namespace cranberry;
using namespace cranberry::test;
using namespace std::chrono_literals;

namespace {

constexpr unsigned Seeds = 3;
constexpr double MinUrgentOnTime = 0.95;
constexpr double MinWorkDone = 0.9;
constexpr double MinSmallOnTime = 0.9;
constexpr double MinUrgentWithFault = 0.9;

AdmissionScenario fleetOf(int daemons, std::vector<CallerGroup> groups)
{
    AdmissionScenario scenario;
    scenario.groups = std::move(groups);
    scenario.daemons = daemons;
    scenario.targets = daemons > 12 ? 12 : 6;
    scenario.duration = daemons > 12 ? 6s : 10s;
    if (daemons > 100) {
        scenario.dataCentres = 5;
        scenario.targets = 50;
        scenario.duration = 5s;
    }
    return scenario;
}

std::vector<CallerGroup> urgentAndLessUrgent()
{
    return {{0.6, 0, 1}, {0.9, 2, 1}};
}

/// The first is the large one.
std::vector<CallerGroup> workspaces()
{
    return {{1.1, 1, 1}, {0.08, 1, 2}, {0.08, 1, 3}, {0.08, 1, 4}, {0.08, 1, 5}, {0.08, 1, 6}};
}

/// A fifth of the callers retries at once.
std::vector<CallerGroup> returningCallers()
{
    return {{0.28, 1, 1, CallerKind::RetriesAtOnce}, {1.12, 1, 1, CallerKind::RetriesWhenTold}};
}

/// Runs @p scenario and prints its figures for the tables in docs/design.
AdmissionOutcome run(const char *name, const AdmissionScenario &scenario, unsigned seed)
{
    AdmissionOutcome outcome = simulateAdmission(scenario, seed);
    std::cout << name << ", order " << int(scenario.order) << ", returns " << int(scenario.returns)
              << ", " << scenario.daemons << " daemons, seed " << seed << ": on time";
    for (const double onTime : outcome.onTime)
        std::cout << ' ' << onTime;
    std::cout << ", work " << outcome.workDone << ", datagrams/s " << outcome.datagrams << '\n';
    return outcome;
}

} // namespace

// Guards against urgent requests that are late beside less urgent ones, at any size of the fleet.
BOOST_AUTO_TEST_CASE(UrgentRequestsAreOnTime)
{
    for (const int daemons : {2, 12, 75, 800}) {
        for (unsigned seed = 1; seed <= (daemons > 100 ? 1 : Seeds); ++seed) {
            BOOST_TEST_CONTEXT(daemons << " daemons, seed " << seed)
            {
                const auto outcome = run("urgent", fleetOf(daemons, urgentAndLessUrgent()), seed);
                BOOST_TEST(outcome.onTime[0] >= MinUrgentOnTime);
                BOOST_TEST(outcome.workDone >= MinWorkDone);
            }
        }
    }
}

// Guards against a simulation that is too easy: without an order the bound is missed.
BOOST_AUTO_TEST_CASE(RaceMissesTheBound)
{
    AdmissionScenario scenario = fleetOf(12, urgentAndLessUrgent());
    scenario.returns = ReturnPolicy::OneTime;
    for (const OrderPolicy order : {OrderPolicy::Race, OrderPolicy::Threshold}) {
        scenario.order = order;
        for (unsigned seed = 1; seed <= Seeds; ++seed) {
            const auto outcome = run("urgent", scenario, seed);
            if (order == OrderPolicy::Race)
                BOOST_TEST(outcome.onTime[0] < MinUrgentOnTime);
        }
    }
}

// Guards against a large workspace that pushes out small ones.
BOOST_AUTO_TEST_CASE(SmallWorkspacesAreOnTime)
{
    for (const int daemons : {2, 12, 75}) {
        for (unsigned seed = 1; seed <= Seeds; ++seed) {
            BOOST_TEST_CONTEXT(daemons << " daemons, seed " << seed)
            {
                const auto outcome = run("workspaces", fleetOf(daemons, workspaces()), seed);
                BOOST_TEST(*std::min_element(outcome.onTime.begin() + 1, outcome.onTime.end())
                           >= MinSmallOnTime);
                BOOST_TEST(outcome.workDone >= MinWorkDone);
            }
        }
    }
}

// Guards against callers that gain by retrying at once.
BOOST_AUTO_TEST_CASE(RetryingAtOnceGainsNothing)
{
    for (const int daemons : {2, 12, 75}) {
        for (unsigned seed = 1; seed <= Seeds; ++seed) {
            BOOST_TEST_CONTEXT(daemons << " daemons, seed " << seed)
            {
                AdmissionScenario scenario = fleetOf(daemons, returningCallers());
                // In 10 s the difference is within the deviation of about 470 callers (0.02).
                if (daemons <= 12)
                    scenario.duration = 40s;
                const auto outcome = run("returns", scenario, seed);
                BOOST_TEST(outcome.onTime[1] >= outcome.onTime[0]);
                BOOST_TEST(outcome.workDone >= MinWorkDone);
            }
        }
    }
}

// Guards against a daemon that ends, a daemon without links to others, or lost datagrams that stop
// the other daemons.
BOOST_AUTO_TEST_CASE(FaultsDoNotStopOthers)
{
    for (const int daemons : {2, 12, 75}) {
        for (unsigned seed = 1; seed <= Seeds; ++seed) {
            for (const char *fault : {"killed", "cut off", "loss"}) {
                BOOST_TEST_CONTEXT(daemons << " daemons, seed " << seed << ", " << fault)
                {
                    AdmissionScenario scenario = fleetOf(daemons, urgentAndLessUrgent());
                    scenario.kills = fault[0] == 'k';
                    scenario.cutsOff = fault[0] == 'c';
                    scenario.lossRate = fault[0] == 'l' ? 0.1 : 0;
                    const auto outcome = run(fault, scenario, seed);
                    BOOST_TEST(outcome.onTime[0] >= MinUrgentWithFault);
                    BOOST_TEST(outcome.workDone >= MinWorkDone);
                }
            }
        }
    }
}
