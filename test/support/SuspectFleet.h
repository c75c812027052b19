// Defines SuspectFleet, two daemons that tell each other of suspects late.
#pragma once

#include "quarantine/Quarantine.h"

#include <array>
#include <optional>
#include <set>
#include <vector>

namespace cranberry::test {

/// Two daemons and six targets, with a time that it moves itself. A request that crashes targets
/// is at the first daemon and an ordinary one at the second; both run at the first target.
class SuspectFleet
{
public:
    /// @p pair chooses the two requests. News arrives after @p delay; a target crashes
    /// @p crashesAfter the first request began there.
    SuspectFleet(int pair, Milliseconds delay, Milliseconds crashesAfter);

    /// Runs until both requests are over; false if that takes too long.
    bool run();
    /// Targets that have crashed.
    int crashes() const { return int(m_crashed.size()); }
    bool isOrdinaryHeldBack() { return isHeldBack(m_daemons[1]); }

private:
    struct News {
        QCborMap body;
        MonotonicTime arrives;
    };

    /// A daemon with one request, which it sends again until it is answered or held back.
    struct Daemon {
        Quarantine table;
        RequestFingerprint request;
        bool isCrashing = false;
        std::optional<TargetId> runsAt;
        MonotonicTime since;
        bool isOver = false;
        std::vector<News> incoming;
    };

    bool isHeldBack(Daemon &daemon);
    void start(Daemon &daemon, const TargetId &at);
    void step();
    void receive(Daemon &daemon) const;
    void crash(const TargetId &at);
    void advance(Daemon &daemon);

    Milliseconds m_crashesAfter;
    MonotonicTime m_now{std::chrono::hours(1)};
    std::array<Daemon, 2> m_daemons;
    std::set<TargetId> m_crashed;
};

/// What came of a few pairs of requests.
struct SuspectResults {
    /// The most targets that one request crashed.
    int mostCrashes = 0;
    int ordinaryHeldBack = 0;
    /// Pairs that were not over in time.
    int unfinished = 0;
};

SuspectResults runSuspectPairs(Milliseconds delay, Milliseconds crashesAfter);

} // namespace cranberry::test
