// Defines HarmfulSite, daemons and targets that receive ordinary requests and some that crash
// targets.
#pragma once

#include "standins/users/CrashingTargets.h"
#include "standins/users/PromiseChecks.h"
#include "support/PlatformSite.h"

#include <functional>
#include <optional>
#include <random>
#include <vector>

namespace cranberry::test {

/// The disruptions beside the harmful requests.
struct HarmfulShape {
    const char *name = "";
    standin::CrashBehaviour behaviour;
    int daemons = 6;
    int targets = 12;
    /// Callers of harmful requests disconnect after this time, unless it is zero.
    Milliseconds patience{0};
    /// Different harms at a time.
    int harms = 1;
    /// Daemons are killed and started one after the other from this time on, unless it is zero.
    Milliseconds killsFrom{0};
    /// Other targets that crash with the second and the third crash.
    int others = 0;
    bool areTargetsFaulty = false;
    /// Daemon 0 is partitioned from the targets from the first crash on.
    bool isPartitioned = false;
    /// Daemon 0 is stopped for 3 s after the first crash.
    bool isStopped = false;
    /// The store refuses calls for 7 s from the first crash on.
    bool isStoreAway = false;
};

std::ostream &operator<<(std::ostream &out, const HarmfulShape &shape);

HarmfulShape withForm(const char *name, standin::CrashForm form);

template <typename Change>
HarmfulShape changed(HarmfulShape shape, const char *name, Change change)
{
    shape.name = name;
    change(shape);
    return shape;
}

/// A request before its caller gives it an id and sends it.
struct PlannedRequest {
    QByteArray path;
    QByteArray body;
    HttpHeaders headers;
    /// Groups the outcomes of ordinary requests.
    QByteArray tag;
};

struct HarmfulTraffic {
    QByteArray service = "plain";
    Milliseconds ordinaryInterval{25};
    Milliseconds harmfulInterval{333};
    /// Time before the first harmful request.
    Milliseconds warmUp{1500};
    Milliseconds duration{9000};
    /// Harmful requests arrive at daemon 0 only.
    bool isHarmAtOneDaemon = false;
    std::function<PlannedRequest(const QByteArray &id, std::mt19937 &random)> ordinary;
    std::function<QList<PlannedRequest>(int harms, std::mt19937 &random)> harmful;
};

/// What became of an ordinary request.
struct OrdinaryOutcome {
    QByteArray tag;
    MonotonicTime sentAt;
    /// An answer with success has begun.
    bool hasBegun = false;
    bool isServed = false;
    bool isQuarantined = false;
};

/// Seed from the environment variable CRANBERRY_TEST_SEED, or 1.
quint32 harmfulSeed();

/// Thread safety: none; one event loop.
class HarmfulSite
{
public:
    /// Starts the daemons and targets.
    HarmfulSite(const HarmfulShape &shape, HarmfulTraffic traffic);
    /// Writes the logs of the daemons to the folder CRANBERRY_TEST_LOGS, if that is set.
    ~HarmfulSite();
    HarmfulSite(const HarmfulSite &) = delete;
    HarmfulSite &operator=(const HarmfulSite &) = delete;

    standin::CrashingTargets &targets() { return m_targets; }
    /// Sends requests until the end of the traffic, and waits for the answers.
    void run();

    const standin::PromiseChecks &checks() const { return m_checks; }
    const std::vector<OrdinaryOutcome> &ordinary() const { return m_outcomes; }
    int harmfulSent() const { return m_harmful; }
    int served() const;
    int quarantined() const;
    /// Targets begin to crash.
    MonotonicTime harmFrom() const { return m_start + m_traffic.warmUp; }

private:
    struct Call {
        QByteArray id;
        bool isOrdinary = false;
        QByteArray tag;
        MonotonicTime since;
        std::shared_ptr<ClientCall> call;
    };

    bool knowEachOther();
    bool isDue(MonotonicTime &next, Milliseconds interval);
    int randomDaemon();
    void step();
    void sendOrdinary();
    void sendHarmful();
    void send(const PlannedRequest &request, const QByteArray &id, int daemon, bool isOrdinary);
    void disturb();
    void killInTurn(MonotonicTime now);
    void collect();
    void answered(const Call &call);

    const HarmfulShape m_shape;
    const HarmfulTraffic m_traffic;
    std::mt19937 m_random;
    PlatformSite m_site;
    QtTimerService m_timers;
    standin::CrashingTargets m_targets;
    standin::PromiseChecks m_checks;
    MonotonicTime m_start;
    MonotonicTime m_nextOrdinary;
    MonotonicTime m_nextHarmful;
    MonotonicTime m_nextKill;
    std::optional<MonotonicTime> m_continueAt;
    std::optional<MonotonicTime> m_storeBackAt;
    int m_killed = -1;
    int m_nextVictim = 0;
    int m_crashedBefore = 0;
    int m_ordinary = 0;
    int m_harmful = 0;
    std::vector<Call> m_calls;
    std::vector<OrdinaryOutcome> m_outcomes;
};

} // namespace cranberry::test
