// Defines AdmissionSimulation, daemons that place requests at common targets in virtual time.
#pragma once

#include "base/Units.h"

#include <vector>

namespace cranberry::test {

/// How the daemons of an AdmissionSimulation decide which request goes next.
enum class OrderPolicy {
    /// Each daemon tries its own queue whenever it hears of room.
    Race,
    /// As Race; less urgent work needs more free room than a reserve.
    Threshold,
    /// Daemons report what waits; see docs/OVERLOAD.md.
    Reports,
};

/// Which callers that return after a rejection go before new ones.
enum class ReturnPolicy {
    /// All are told the same time; none goes before new ones.
    OneTime,
    /// Requests whose hash is in a window that moves with time; others are told when it reaches
    /// them.
    HashWindow,
    /// Those that were promised a time; see ReturnPromises.
    Promises,
};

enum class CallerKind { GivesUp, RetriesAtOnce, RetriesWhenTold };

struct CallerGroup {
    /// Requests per second, as a fraction of what the targets can serve.
    double load = 0;
    int priority = 0;
    int workspace = 0;
    CallerKind kind = CallerKind::GivesUp;
};

/// What happens in an AdmissionSimulation.
struct AdmissionScenario {
    OrderPolicy order = OrderPolicy::Reports;
    ReturnPolicy returns = ReturnPolicy::Promises;
    std::vector<CallerGroup> groups;
    int daemons = 12;
    int targets = 6;
    /// Daemons hear only those of their data centre, and use its targets only.
    int dataCentres = 1;
    /// The fraction of the requests that arrives at the first sixth of the daemons.
    double busyFraction = 0.4;
    double lossRate = 0;
    Milliseconds maxDelay{5};
    /// The time of idle room (see mayTakeRoom()) is kept while targets are full or nothing waits,
    /// as by FleetAdmission at aedda47; else it begins anew.
    bool keepsIdleTime = false;
    /// The last daemon is killed, or cut off from all other daemons, at faultAt.
    bool kills = false;
    bool cutsOff = false;
    Milliseconds faultAt{4000};
    Milliseconds duration{10000};
};

struct AdmissionOutcome {
    /// Fraction of the callers of each group that were answered within the objective from their
    /// first arrival; those at the daemon with a fault are left out.
    std::vector<double> onTime;
    /// Fraction of the time of all slots in which requests were served.
    double workDone = 0;
    /// Datagrams sent per second by all daemons.
    double datagrams = 0;
};

/// Runs @p scenario in steps of a millisecond. Thread-safe.
AdmissionOutcome simulateAdmission(const AdmissionScenario &scenario, unsigned seed);

} // namespace cranberry::test
