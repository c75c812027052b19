#include "support/LimitSimulation.h"

#include "relay/ColdPace.h"

#include <algorithm>

namespace cranberry::test {

namespace {

constexpr Milliseconds Step{2};
constexpr Milliseconds Window{4000};
/// Requests before this time do not count as use: the first owner hands out nothing yet.
constexpr Milliseconds WarmUp{2000};

struct Message {
    bool isAsk = false;
    int daemon = 0;
    int owner = 0;
    int number = 0;
    int wanted = 0;
    int unreported = 0;
    PermitGrant grant;
};

class Simulation
{
public:
    Simulation(const LimitScenario &scenario, unsigned seed)
        : m_scenario(scenario)
        , m_random(seed)
        , m_stocks(size_t(scenario.daemons))
        , m_waiting(size_t(scenario.daemons))
        , m_nextPaced(size_t(scenario.daemons))
    {
        const Milliseconds pace = coldPace(scenario.perSecond, scenario.daemons);
        for (MonotonicTime &next : m_nextPaced)
            next = m_start + firstColdDelay(pace, fraction());
    }

    LimitOutcome run()
    {
        for (m_now = m_start; m_now < m_start + m_scenario.duration; m_now += Step) {
            deliver();
            addDemand();
            for (int daemon = 0; daemon < m_scenario.daemons; ++daemon)
                serve(daemon);
        }
        return outcome();
    }

private:
    double fraction() { return std::uniform_real_distribution<double>(0, 1)(m_random); }
    bool hasPassed(Milliseconds time) const { return time.count() > 0 && m_now >= m_start + time; }

    bool isInSecondHalf(int daemon) const { return daemon >= m_scenario.daemons / 2; }

    int ownerOf(int daemon) const
    {
        if (hasPassed(m_scenario.partitionAt) && isInSecondHalf(daemon))
            return m_scenario.daemons - 1;
        return hasPassed(m_scenario.ownerEndsAt) ? 1 : 0;
    }

    int reachableFrom(int owner) const
    {
        const int gone = hasPassed(m_scenario.ownerEndsAt) ? 1 : 0;
        if (!hasPassed(m_scenario.partitionAt))
            return m_scenario.daemons - gone;
        const int firstHalf = m_scenario.daemons / 2;
        return isInSecondHalf(owner) ? m_scenario.daemons - firstHalf : firstHalf - gone;
    }

    void send(const Message &message)
    {
        ++m_messages;
        for (int copies = fraction() < m_scenario.duplicationRate ? 2 : 1; copies > 0; --copies) {
            if (fraction() < m_scenario.lossRate)
                continue;
            const Milliseconds delay(1 + qint64(fraction() * double(m_scenario.maxDelay.count())));
            m_messagesDue.emplace(m_now + delay, message);
        }
    }

    void deliver()
    {
        while (!m_messagesDue.empty() && m_messagesDue.begin()->first <= m_now) {
            const Message message = m_messagesDue.begin()->second;
            m_messagesDue.erase(m_messagesDue.begin());
            message.isAsk ? answer(message) : accept(message);
        }
    }

    void answer(const Message &ask)
    {
        if (ownerOf(ask.owner) != ask.owner)
            return;
        auto bucket = m_buckets.find(ask.owner);
        if (bucket == m_buckets.end())
            bucket = m_buckets.emplace(ask.owner, openBucket(m_now)).first;
        Message reply = ask;
        reply.isAsk = false;
        const LimitPart part =
            limitPart(m_scenario.perSecond, reachableFrom(ask.owner), m_scenario.daemons);
        reply.grant =
            grantPermits(bucket->second, part, ask.wanted, ask.unreported, m_now, fraction());
        send(reply);
    }

    void accept(const Message &reply)
    {
        applyGrant(m_stocks[size_t(reply.daemon)], reply.number, reply.grant, m_now);
    }

    void addDemand()
    {
        m_owed += m_scenario.demand * double(Step.count()) / 1000;
        const int firstTenth = std::max(m_scenario.daemons / 10, 1);
        for (; m_owed >= 1; m_owed -= 1) {
            const bool isFirstTenth = fraction() < m_scenario.shareOfFirstTenth;
            const int first = isFirstTenth ? 0 : firstTenth % m_scenario.daemons;
            const int last = isFirstTenth ? firstTenth : m_scenario.daemons;
            const int daemon = first + int(fraction() * (last - first));
            ++m_demanded;
            ++m_stocks[size_t(daemon)].wanted;
            m_waiting[size_t(daemon)].push_back(m_now + m_scenario.patience);
        }
    }

    bool trySend(int daemon)
    {
        if (m_scenario.policy == LimitPolicy::EqualParts) {
            if (m_nextPaced[size_t(daemon)] > m_now)
                return false;
            m_nextPaced[size_t(daemon)] =
                m_now + coldPace(m_scenario.perSecond, m_scenario.daemons);
            return true;
        }
        PermitStock &stock = m_stocks[size_t(daemon)];
        if (hasPermit(stock, m_now)) {
            spendPermit(stock, m_now);
            return true;
        }
        if (shouldAsk(stock, m_now)) {
            const int wanted = std::clamp(stock.wanted, 1, MaxPermitsPerGrant);
            beginAsk(stock, m_now);
            send({true, daemon, ownerOf(daemon), stock.askNumber, wanted, stock.reported, {}});
        }
        return false;
    }

    void serve(int daemon)
    {
        std::vector<MonotonicTime> &waiting = m_waiting[size_t(daemon)];
        waiting.erase(std::remove_if(waiting.begin(), waiting.end(),
                                     [this](MonotonicTime until) { return until < m_now; }),
                      waiting.end());
        while (!waiting.empty() && trySend(daemon)) {
            waiting.erase(waiting.begin());
            m_arrivals.push_back(m_now + Milliseconds(qint64(fraction() * 5)));
        }
    }

    LimitOutcome outcome()
    {
        std::sort(m_arrivals.begin(), m_arrivals.end());
        LimitOutcome outcome;
        outcome.sent = int(m_arrivals.size());
        outcome.demanded = m_demanded;
        outcome.messages = m_messages;
        for (auto first = m_arrivals.begin(); first != m_arrivals.end(); ++first) {
            const auto last = std::lower_bound(first, m_arrivals.end(), *first + Window);
            outcome.mostInWindow = std::max(outcome.mostInWindow, int(last - first));
        }
        const auto measured =
            std::lower_bound(m_arrivals.begin(), m_arrivals.end(), m_start + WarmUp);
        const std::chrono::duration<double> time = m_scenario.duration - WarmUp;
        outcome.use = double(m_arrivals.end() - measured) / (m_scenario.perSecond * time.count());
        return outcome;
    }

    const LimitScenario m_scenario;
    std::mt19937 m_random;
    const MonotonicTime m_start{std::chrono::hours(1)};
    MonotonicTime m_now;
    std::vector<PermitStock> m_stocks;
    std::vector<std::vector<MonotonicTime>> m_waiting;
    std::vector<MonotonicTime> m_nextPaced;
    std::map<int, PermitBucket> m_buckets;
    std::multimap<MonotonicTime, Message> m_messagesDue;
    std::vector<MonotonicTime> m_arrivals;
    double m_owed = 0;
    int m_demanded = 0;
    int m_messages = 0;
};

} // namespace

LimitOutcome simulateLimit(const LimitScenario &scenario, unsigned seed)
{
    return Simulation(scenario, seed).run();
}

} // namespace cranberry::test
