// Compares ways in which a daemon that shuts down decides what it accepts, in virtual time.
#include "performance/VirtualTime.h"
#include "relay/ServiceDurations.h"
#include "relay/ShutdownPlan.h"

#include <algorithm>
#include <cstdio>
#include <random>
#include <vector>

using namespace cranberry;
using namespace std::chrono_literals;

namespace {

constexpr unsigned Seeds = 5;
constexpr Milliseconds Grace{8000};
constexpr Milliseconds Objective{150};
constexpr Milliseconds Timeout{1200};
constexpr Milliseconds CallerDeadline{2500};
constexpr Milliseconds BalancerRemovalDelay{3000};
constexpr Milliseconds BalancerReturnDelay{1000};
constexpr Milliseconds RestartTime{1500};
constexpr Milliseconds MaxSignalDelay{200};
constexpr Milliseconds Gap{2000};
constexpr double RequestsPerSecond = 12;
const ServiceId Service(QStringLiteral("service"));

enum class Policy {
    /// The objective, and no end before the process is killed.
    Killed,
    Objective,
    Timeout,
    Observed,
};
constexpr const char *PolicyNames[] = {"killed", "objective", "timeout", "observed"};

enum class Work {
    /// 30 to 220 ms.
    Usual,
    /// One request in 20 takes up to 900 ms.
    Tail,
    /// 100 to 900 ms.
    Slow,
};
constexpr const char *WorkNames[] = {"30 to 220 ms", "one of 20 up to 900 ms", "100 to 900 ms"};

struct Counts {
    int requests = 0;
    int onTime = 0;
    int late = 0;
    /// Rejected, and not served elsewhere.
    int rejected = 0;
    /// Ended with 504 although a target worked on them.
    int unfinished = 0;
    int lost = 0;
};

class Simulation
{
public:
    Simulation(int daemons, Policy policy, Work work, bool isAtOnce, unsigned seed)
        : m_policy(policy)
        , m_work(work)
        , m_random(seed)
        , m_daemons(std::size_t(daemons))
    {
        const MonotonicTime start = m_time.now() + 3s;
        for (int i = 0; i < daemons; ++i) {
            const MonotonicTime signal = isAtOnce ? start : start + i * Gap;
            m_time.at(signal, [this, i] { stop(m_daemons[std::size_t(i)]); });
            m_measureUntil = signal + Grace + RestartTime;
        }
        m_measureFrom = start;
        arrive();
    }

    Counts run()
    {
        m_time.run(m_measureUntil + 5s);
        return m_counts;
    }

private:
    struct Daemon {
        bool isGone = false;
        std::optional<MonotonicTime> signalled;
        std::optional<ShutdownPlan> plan;
        MonotonicTime balancedFrom;
        int running = 0;
        int incarnation = 0;
        ServiceDurations durations;
    };

    Milliseconds randomTime(Milliseconds least, Milliseconds most)
    {
        return Milliseconds(
            std::uniform_int_distribution<qint64>(least.count(), most.count())(m_random));
    }

    Milliseconds workTime()
    {
        const bool isSlow = m_work == Work::Slow || (m_work == Work::Tail && m_random() % 20 == 0);
        return isSlow ? randomTime(100ms, 900ms) : randomTime(30ms, 220ms);
    }

    void arrive()
    {
        std::exponential_distribution<double> gap(RequestsPerSecond * double(m_daemons.size())
                                                  / 1000);
        m_time.at(m_time.now() + Milliseconds(1 + qint64(gap(m_random))), [this] {
            const MonotonicTime now = m_time.now();
            const bool isCounted = now >= m_measureFrom && now < m_measureUntil;
            m_counts.requests += isCounted ? 1 : 0;
            call(now, true, isCounted);
            if (now < m_measureUntil)
                arrive();
        });
    }

    bool isInRotation(const Daemon &daemon) const
    {
        const MonotonicTime now = m_time.now();
        const bool isRemoved = daemon.signalled && now >= *daemon.signalled + BalancerRemovalDelay;
        return !isRemoved && now >= daemon.balancedFrom;
    }

    Daemon &chooseDaemon()
    {
        std::vector<Daemon *> candidates;
        for (Daemon &daemon : m_daemons) {
            if (isInRotation(daemon))
                candidates.push_back(&daemon);
        }
        if (2 * candidates.size() >= m_daemons.size())
            return *candidates[m_random() % candidates.size()];
        return m_daemons[m_random() % m_daemons.size()];
    }

    bool accepts(const Daemon &daemon) const
    {
        if (!daemon.plan)
            return true;
        const MonotonicTime now = m_time.now();
        if (m_policy == Policy::Killed)
            return now + Objective < daemon.plan->began + Grace;
        DurationEstimate estimate;
        estimate.objective = Objective;
        estimate.timeLeft = Timeout;
        if (m_policy == Policy::Observed)
            estimate.observed = daemon.durations.toAnswer(Service);
        if (m_policy == Policy::Timeout)
            estimate.observed = Timeout;
        return isAnsweredBeforeShutdown(*daemon.plan, now, expectedDuration(estimate));
    }

    void call(MonotonicTime arrived, bool mayRetry, bool isCounted)
    {
        Daemon &daemon = chooseDaemon();
        if (daemon.isGone || !accepts(daemon)) {
            const Milliseconds wait = daemon.isGone ? 1ms : RetryAfterDraining;
            if (mayRetry && m_time.now() + wait < arrived + CallerDeadline)
                m_time.at(m_time.now() + wait,
                          [this, arrived, isCounted] { call(arrived, false, isCounted); });
            else
                m_counts.rejected += isCounted ? 1 : 0;
            return;
        }
        ++daemon.running;
        const Milliseconds work = workTime();
        const int incarnation = daemon.incarnation;
        const MonotonicTime sent = m_time.now();
        m_time.at(sent + work, [this, &daemon, incarnation, arrived, work, isCounted] {
            // The process ended meanwhile.
            if (daemon.incarnation != incarnation)
                return;
            --daemon.running;
            daemon.durations.recordAnswer(Service, work);
            const bool isOnTime = m_time.now() <= arrived + Objective;
            (isOnTime ? m_counts.onTime : m_counts.late) += isCounted ? 1 : 0;
        });
    }

    void stop(Daemon &daemon)
    {
        const MonotonicTime signalled = m_time.now();
        daemon.signalled = signalled;
        m_time.at(signalled + randomTime(0ms, MaxSignalDelay), [this, &daemon, signalled] {
            daemon.plan = planShutdown(m_time.now(), Grace);
            checkEnd(daemon, signalled + Grace);
        });
    }

    void checkEnd(Daemon &daemon, MonotonicTime killedAt)
    {
        const MonotonicTime now = m_time.now();
        const bool hasEnd = m_policy != Policy::Killed;
        // A long stream keeps every other daemon.
        const bool hasStream = (&daemon - m_daemons.data()) % 2 == 0;
        const bool isIdle =
            !hasStream && daemon.running == 0 && now >= daemon.plan->began + BalancerRemovalDelay;
        if (!isIdle && now < (hasEnd ? daemon.plan->answersDue : killedAt)) {
            m_time.at(now + 50ms, [this, &daemon, killedAt] { checkEnd(daemon, killedAt); });
            return;
        }
        (hasEnd ? m_counts.unfinished : m_counts.lost) += daemon.running;
        ++daemon.incarnation;
        daemon.running = 0;
        daemon.isGone = true;
        m_time.at(now + RestartTime, [this, &daemon] {
            daemon.isGone = false;
            daemon.signalled.reset();
            daemon.plan.reset();
            daemon.durations = {};
            daemon.balancedFrom = m_time.now() + BalancerReturnDelay;
        });
    }

    const Policy m_policy;
    const Work m_work;
    std::mt19937 m_random;
    bench::VirtualTime m_time;
    std::vector<Daemon> m_daemons;
    MonotonicTime m_measureFrom;
    MonotonicTime m_measureUntil;
    Counts m_counts;
};

} // namespace

int main()
{
    std::printf("| daemons | stopped | work | policy | requests | on time | served | rejected | "
                "unfinished | lost |\n|---|---|---|---|---|---|---|---|---|---|\n");
    for (const int daemons : {2, 6, 24, 60}) {
        for (const bool isAtOnce : {false, true}) {
            for (const Work work : {Work::Usual, Work::Tail, Work::Slow}) {
                for (const Policy policy :
                     {Policy::Killed, Policy::Objective, Policy::Timeout, Policy::Observed}) {
                    Counts sum;
                    for (unsigned seed = 1; seed <= Seeds; ++seed) {
                        const Counts counts =
                            Simulation(daemons, policy, work, isAtOnce, seed).run();
                        sum.requests += counts.requests;
                        sum.onTime += counts.onTime;
                        sum.late += counts.late;
                        sum.rejected += counts.rejected;
                        sum.unfinished += counts.unfinished;
                        sum.lost += counts.lost;
                    }
                    std::printf("| %d | %s | %s | %s | %d | %.4f | %.4f | %d | %d | %d |\n",
                                daemons, isAtOnce ? "at once" : "in turn", WorkNames[int(work)],
                                PolicyNames[int(policy)], sum.requests,
                                double(sum.onTime) / sum.requests,
                                double(sum.onTime + sum.late) / sum.requests, sum.rejected,
                                sum.unfinished, sum.lost);
                }
            }
        }
    }
    return 0;
}
