#include "support/PauseSimulation.h"

#include "relay/TargetPause.h"

#include <algorithm>
#include <queue>
#include <random>
#include <vector>

namespace cranberry::test {

namespace {

constexpr Milliseconds Start{3'600'000};
constexpr Milliseconds LinkTime{1};
constexpr Milliseconds ReactionTime{500};
/// A request waits this long for a target that may start it.
constexpr Milliseconds Patience{300};
constexpr Milliseconds WaitStep{20};
constexpr int MaxSends = 4;
constexpr double RetryRatio = 0.2;
constexpr double PausedWeight = 0.1;
constexpr int Unlimited = 1'000'000;

enum class Kind { Arrives, Reaches, Ends, Rejected, Paused, Answered };

struct Event {
    MonotonicTime at;
    Kind kind = Kind::Arrives;
    int daemon = 0;
    int target = 0;
    int sends = 0;
    MonotonicTime arrivedAt;

    bool operator<(const Event &other) const { return at > other.at; }
};

/// What one daemon knows of one target.
struct Knowledge {
    TargetPause pause;
    int running = 0;
    /// Requests that the target received in the pause.
    int inPause = 0;
    MonotonicTime countFrom;
};

class Simulation
{
public:
    Simulation(const PauseScenario &scenario, unsigned seed)
        : m_scenario(scenario)
        , m_random(seed)
        , m_known(std::size_t(scenario.daemons) * std::size_t(scenario.targets))
        , m_running(std::size_t(scenario.targets))
        , m_budget(std::size_t(scenario.daemons), 1.0)
    {
        for (Knowledge &knowledge : m_known)
            knowledge.pause.maxUnanswered = Unlimited;
    }

    PauseOutcome run()
    {
        const double perTarget =
            1000.0 * m_scenario.slotsPerTarget / double(m_scenario.serviceTime.count());
        const double perSecond = m_scenario.demand * perTarget * m_scenario.targets;
        std::exponential_distribution<double> gap(perSecond / 1000);
        const MonotonicTime begin{Start};
        for (double at = 0; at < double(m_scenario.duration.count()); at += gap(m_random)) {
            Event event;
            event.at = begin + std::chrono::microseconds(qint64(at * 1000));
            event.arrivedAt = event.at;
            event.daemon = int(m_random() % unsigned(m_scenario.daemons));
            m_events.push(event);
        }
        while (!m_events.empty()) {
            const Event event = m_events.top();
            m_events.pop();
            m_now = event.at;
            handle(event);
        }
        m_outcome.servedAfter = m_requestsAfter == 0 ? 0 : double(m_servedAfter) / m_requestsAfter;
        return m_outcome;
    }

private:
    using qint64 = std::int64_t;

    Knowledge &known(int daemon, int target)
    {
        return m_known[std::size_t(daemon) * std::size_t(m_scenario.targets) + std::size_t(target)];
    }

    bool isTrouble() const
    {
        const auto passed = m_now - MonotonicTime(Start);
        return passed > m_scenario.duration / 4 && passed < m_scenario.duration * 3 / 4;
    }

    bool isAfter(MonotonicTime time) const
    {
        return time - MonotonicTime(Start) > m_scenario.duration * 3 / 4 + m_scenario.pause;
    }

    int slotsOf(int target) const
    {
        const bool isShort = target < m_scenario.inTrouble && isTrouble();
        return isShort ? m_scenario.slotsPerTarget / 4 : m_scenario.slotsPerTarget;
    }

    bool asks(int target) const
    {
        return m_scenario.doAllAsk || (target < m_scenario.inTrouble && isTrouble());
    }

    double weight(const Knowledge &knowledge) const
    {
        switch (m_scenario.policy) {
        case PausePolicy::Ignore:
            return 1;
        case PausePolicy::Weight:
            return isPaused(knowledge.pause, m_now) ? PausedWeight : 1;
        case PausePolicy::Exclude:
            return isPaused(knowledge.pause, m_now) ? 0 : 1;
        case PausePolicy::ExcludeAndDouble:
        case PausePolicy::ExcludeAndReturn:
        case PausePolicy::Shared:
            return mayStart(knowledge.pause, m_now) ? 1 : 0;
        }
        return 1;
    }

    int choose(int daemon)
    {
        int best = -1;
        double bestScore = 0;
        std::uniform_real_distribution<double> jitter(0, 0.03);
        for (int target = 0; target < m_scenario.targets; ++target) {
            const Knowledge &knowledge = known(daemon, target);
            const double part = weight(knowledge);
            if (part == 0)
                continue;
            const double load = double(knowledge.running + 1) / m_scenario.slotsPerTarget;
            const double score = load / part + jitter(m_random);
            if (best < 0 || score < bestScore) {
                best = target;
                bestScore = score;
            }
        }
        return best;
    }

    void handle(const Event &event)
    {
        switch (event.kind) {
        case Kind::Arrives:
            arrives(event);
            break;
        case Kind::Reaches:
            reaches(event);
            break;
        case Kind::Ends:
            --m_running[std::size_t(event.target)];
            later(event, Kind::Answered, LinkTime);
            break;
        case Kind::Rejected:
        case Kind::Paused:
            rejected(event);
            break;
        case Kind::Answered:
            answered(event);
            break;
        }
    }

    void later(Event event, Kind kind, Milliseconds delay)
    {
        event.kind = kind;
        event.at = m_now + delay;
        m_events.push(event);
    }

    void arrives(const Event &event)
    {
        if (event.at == event.arrivedAt && event.sends == 0) {
            ++m_outcome.requests;
            m_requestsAfter += isAfter(event.arrivedAt) ? 1 : 0;
            m_budget[std::size_t(event.daemon)] += RetryRatio;
        }
        const int target = choose(event.daemon);
        if (target < 0) {
            if (m_now - event.arrivedAt < Patience)
                later(event, Kind::Arrives, WaitStep);
            return;
        }
        Event sent = event;
        sent.target = target;
        ++sent.sends;
        Knowledge &knowledge = known(event.daemon, target);
        ++knowledge.running;
        ++knowledge.pause.unanswered;
        later(sent, Kind::Reaches, LinkTime);
    }

    void reaches(const Event &event)
    {
        Knowledge &knowledge = known(event.daemon, event.target);
        if (isPaused(knowledge.pause, m_now) && m_now >= knowledge.countFrom)
            m_outcome.mostInPause = std::max(m_outcome.mostInPause, ++knowledge.inPause);
        int &running = m_running[std::size_t(event.target)];
        const int slotCount = slotsOf(event.target);
        if (running >= slotCount + m_scenario.queue) {
            ++m_outcome.rejections;
            later(event, asks(event.target) ? Kind::Paused : Kind::Rejected, LinkTime);
            return;
        }
        const int rounds = 1 + running / slotCount;
        ++running;
        later(event, Kind::Ends, rounds * m_scenario.serviceTime);
    }

    void pauseAt(int daemon, int target)
    {
        Knowledge &knowledge = known(daemon, target);
        if (!extendPause(knowledge.pause, m_scenario.pause, knowledge.running, m_now))
            return;
        if (m_scenario.policy == PausePolicy::ExcludeAndDouble)
            knowledge.pause.threshold = MaxReturning;
        knowledge.inPause = 0;
        knowledge.countFrom = m_now + ReactionTime;
    }

    void rejected(const Event &event)
    {
        if (event.kind == Kind::Paused) {
            ++m_outcome.pauses;
            pauseAt(event.daemon, event.target);
            const bool isShared = m_scenario.policy == PausePolicy::Shared;
            for (int daemon = 0; isShared && daemon < m_scenario.daemons; ++daemon)
                pauseAt(daemon, event.target);
        }
        --known(event.daemon, event.target).running;
        double &budget = m_budget[std::size_t(event.daemon)];
        if (event.sends >= MaxSends || budget < 1)
            return;
        budget -= 1;
        later(event, Kind::Arrives, Milliseconds(0));
    }

    void answered(const Event &event)
    {
        Knowledge &knowledge = known(event.daemon, event.target);
        --knowledge.running;
        knowledge.pause.unanswered = std::max(knowledge.pause.unanswered - 1, 0);
        if (recordAccepted(knowledge.pause, m_now))
            knowledge.pause.maxUnanswered = Unlimited;
        ++m_outcome.served;
        m_servedAfter += isAfter(event.arrivedAt) ? 1 : 0;
    }

    const PauseScenario m_scenario;
    std::mt19937 m_random;
    std::vector<Knowledge> m_known;
    std::vector<int> m_running;
    std::vector<double> m_budget;
    std::priority_queue<Event> m_events;
    MonotonicTime m_now;
    PauseOutcome m_outcome;
    int m_requestsAfter = 0;
    int m_servedAfter = 0;
};

} // namespace

const char *pausePolicyName(PausePolicy policy)
{
    switch (policy) {
    case PausePolicy::Ignore:
        return "ignore";
    case PausePolicy::Weight:
        return "weight";
    case PausePolicy::Exclude:
        return "exclude";
    case PausePolicy::ExcludeAndDouble:
        return "exclude, double";
    case PausePolicy::ExcludeAndReturn:
        return "exclude, return in steps";
    case PausePolicy::Shared:
        return "exclude at all daemons";
    }
    return "unknown";
}

PauseOutcome simulatePauses(const PauseScenario &scenario, unsigned seed)
{
    return Simulation(scenario, seed).run();
}

} // namespace cranberry::test
