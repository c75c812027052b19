#include "support/AdmissionSimulation.h"

#include "admission/DemandRecorder.h"
#include "admission/FleetDemand.h"
#include "admission/ReturnPromises.h"
#include "admission/TargetSpeed.h"
#include "admission/WorkspaceUsage.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <memory>
#include <random>

namespace cranberry::test {

namespace {

constexpr Milliseconds Step{1};
constexpr int SlotCount = 4;
/// Mean time of service; single ones are spread evenly from half to one and a half of it.
constexpr Milliseconds Service{100};
/// Slots, and one request more that a target takes; see "Plain services under pressure".
constexpr int TargetLimit = SlotCount + 1;
constexpr Milliseconds Objective{1000};
constexpr Milliseconds WaitLimit{600};
constexpr Milliseconds CallerTime{3000};
constexpr double AcceptedWaitFraction = 0.7;
constexpr int MaxAttempts = 4;
constexpr Milliseconds RetryAtOnceDelay{10};
/// Changes of room within this time are handled in one pass.
constexpr Milliseconds PassDelay{5};
constexpr Milliseconds CheckInterval{100};
constexpr Milliseconds LoadInterval{10};
constexpr Milliseconds LoadRepeatInterval{500};
constexpr Milliseconds LoadTimeout{1200};
constexpr Milliseconds RatesInterval{1500};
constexpr int MaxReportedWorkspaces = 8;
/// Less urgent work of OrderPolicy::Threshold leaves this fraction of all room free.
constexpr double ReserveFraction = 0.2;
constexpr Milliseconds OneReturnDelay{300};
constexpr Milliseconds WindowPeriod{500};
constexpr double WindowWidth = 0.2;
/// Outcomes count from here to a second before the end, when the rates are known.
constexpr Milliseconds WarmUp{2000};
constexpr Milliseconds CoolDown{1000};

struct Caller {
    size_t group = 0;
    MonotonicTime first;
    int attempts = 0;
    bool isCounted = false;
};

struct Request {
    size_t caller = 0;
    int daemon = 0;
    Urgency urgency;
};

struct Target {
    /// Requests in service by their end, and those that queue for a slot.
    std::multimap<MonotonicTime, std::pair<Request, MonotonicTime>> running;
    std::deque<std::pair<Request, MonotonicTime>> queue;
};

struct Message {
    enum class Kind { Loads, Demand, Rates, Promise };
    Kind kind = Kind::Loads;
    int from = 0;
    std::vector<int> loads;
    DaemonDemand demand;
    QList<WorkspaceRate> usage;
    ReturnPromise promise;
};

struct Daemon {
    bool isAlive = true;
    bool isCutOff = false;
    std::vector<Request> waiting;
    FleetDemand demand;
    DemandRecorder recorder;
    WorkspaceUsage usage;
    ReturnPromises promises;
    std::optional<MonotonicTime> idleSince;
    /// Requests at each target: own, and of each other daemon with the time of its report.
    std::vector<int> own;
    std::vector<int> known;
    std::vector<std::pair<std::vector<int>, MonotonicTime>> peers;
    bool hasNews = false;
    MonotonicTime passAt = MonotonicTime::max();
    bool hasReported = false;
    MonotonicTime checkAt;
    MonotonicTime loadsAt;
    MonotonicTime loadsSentAt;
    MonotonicTime demandAt;
    MonotonicTime demandSentAt;
    MonotonicTime ratesAt;
};

class Simulation
{
public:
    Simulation(const AdmissionScenario &scenario, unsigned seed)
        : m_scenario(scenario)
        , m_random(seed)
        , m_daemons(size_t(scenario.daemons))
        , m_targets(size_t(scenario.targets))
        , m_arrivals(64)
        , m_owed(scenario.groups.size())
        , m_callersOfGroup(scenario.groups.size())
        , m_onTimeOfGroup(scenario.groups.size())
    {
        for (Daemon &daemon : m_daemons) {
            m_vms.emplace_back(QString::number(m_vms.size()));
            daemon.own.resize(m_targets.size());
            daemon.known.resize(m_targets.size());
            daemon.peers.resize(m_daemons.size());
            daemon.ratesAt = after(RatesInterval);
            daemon.checkAt = after(CheckInterval);
            daemon.loadsAt = daemon.demandAt = MonotonicTime::max();
        }
    }

    AdmissionOutcome run()
    {
        const MonotonicTime end = m_start + m_scenario.duration;
        for (; m_now < end; m_now += Step) {
            if (m_now == m_start + m_scenario.faultAt)
                fail(m_daemons.back());
            deliver();
            for (size_t target = 0; target < m_targets.size(); ++target)
                finishDue(target);
            addCallers();
            for (; !m_returns.empty() && m_returns.begin()->first <= m_now;
                 m_returns.erase(m_returns.begin()))
                arrive(m_returns.begin()->second);
            for (int daemon = 0; daemon < m_scenario.daemons; ++daemon) {
                if (m_daemons[size_t(daemon)].isAlive)
                    runTimers(daemon);
            }
        }
        AdmissionOutcome outcome;
        for (size_t group = 0; group < m_scenario.groups.size(); ++group)
            outcome.onTime.push_back(m_onTimeOfGroup[group]
                                     / std::max(m_callersOfGroup[group], 1.0));
        const double seconds = toSeconds(m_scenario.duration);
        outcome.workDone =
            m_served / (SlotCount * m_scenario.targets * (seconds - toSeconds(WarmUp + CoolDown)));
        outcome.datagrams = m_datagrams / seconds;
        return outcome;
    }

private:
    static double toSeconds(std::chrono::duration<double> time) { return time.count(); }
    /// Faster than std::uniform_real_distribution, which takes much of the run.
    double fraction() { return double(m_random()) / 4294967296.0; }
    Milliseconds part(Milliseconds time)
    {
        return Milliseconds(qint64(fraction() * double(time.count())));
    }
    MonotonicTime after(Milliseconds longest) { return m_now + part(longest); }
    bool isReports() const { return m_scenario.order == OrderPolicy::Reports; }
    bool isMeasured() const
    {
        return m_now >= m_start + WarmUp && m_now < m_start + m_scenario.duration - CoolDown;
    }
    int centre(int index, int count) const { return index * m_scenario.dataCentres / count; }
    const CallerGroup &group(const Request &request) const
    {
        return m_scenario.groups[m_callers[request.caller].group];
    }
    WorkspaceId workspace(const Request &request) const
    {
        return WorkspaceId(QString::number(group(request).workspace));
    }
    /// Callers are numbered; the number is spread over 64 bits.
    static quint64 fingerprint(size_t caller) { return (caller + 1) * 0x9E3779B97F4A7C15ULL; }

    void fail(Daemon &daemon)
    {
        daemon.isCutOff = m_scenario.cutsOff;
        daemon.isAlive = !m_scenario.kills;
        if (m_scenario.kills)
            daemon.waiting.clear();
    }

    void send(const Message &message)
    {
        const auto shared = std::make_shared<const Message>(message);
        const int own = centre(message.from, m_scenario.daemons);
        for (int to = 0; to < m_scenario.daemons; ++to) {
            if (to == message.from || centre(to, m_scenario.daemons) != own)
                continue;
            ++m_datagrams;
            const Daemon &receiver = m_daemons[size_t(to)];
            const bool isCut = receiver.isCutOff || m_daemons[size_t(message.from)].isCutOff;
            const MonotonicTime due = m_now + Step + part(m_scenario.maxDelay);
            if (!isCut && receiver.isAlive && fraction() >= m_scenario.lossRate)
                m_arrivals[slotOf(due)].emplace_back(to, shared);
        }
    }

    /// Deliveries are kept in a ring of steps, which exceeds the longest delay.
    size_t slotOf(MonotonicTime time) const
    {
        return size_t((time - m_start) / Step) % m_arrivals.size();
    }

    void deliver()
    {
        for (const auto &[to, message] : std::exchange(m_arrivals[slotOf(m_now)], {})) {
            if (m_daemons[size_t(to)].isAlive)
                receive(m_daemons[size_t(to)], *message);
        }
    }

    void receive(Daemon &daemon, const Message &message)
    {
        daemon.hasNews = true;
        if (message.kind == Message::Kind::Loads) {
            setLoads(daemon, message.from, message.loads);
            return;
        }
        const VmId &vm = m_vms[size_t(message.from)];
        DaemonDemand &peer = daemon.demand.peers[vm];
        switch (message.kind) {
        case Message::Kind::Loads:
            break;
        case Message::Kind::Demand:
            peer.waiting = message.demand.waiting;
            peer.reportedAt = m_now;
            break;
        case Message::Kind::Rates:
            peer.placed = message.demand.placed;
            peer.placements = message.demand.placements;
            peer.ratesAt = m_now;
            break;
        case Message::Kind::Promise:
            addPromise(daemon.promises, message.promise, m_now);
            break;
        }
        if (message.kind == Message::Kind::Demand || message.kind == Message::Kind::Rates)
            setReported(daemon.usage, vm, message.usage, m_now);
    }

    void setLoads(Daemon &daemon, int from, const std::vector<int> &loads)
    {
        auto &[before, reportedAt] = daemon.peers[size_t(from)];
        for (size_t target = 0; target < before.size(); ++target)
            daemon.known[target] -= before[target];
        for (size_t target = 0; target < loads.size(); ++target)
            daemon.known[target] += loads[target];
        before = loads;
        reportedAt = m_now;
    }

    void changeLoad(Daemon &daemon, size_t target, int change)
    {
        daemon.own[target] += change;
        daemon.known[target] += change;
        daemon.loadsAt =
            std::min(daemon.loadsAt, std::max(m_now, daemon.loadsSentAt + LoadInterval));
    }

    void start(size_t index, const Request &request, MonotonicTime placedAt)
    {
        const Milliseconds service = Service / 2 + part(Service);
        m_targets[index].running.emplace(m_now + service, std::pair(request, placedAt));
        m_served += isMeasured() ? toSeconds(service) : 0;
    }

    void finishDue(size_t index)
    {
        Target &target = m_targets[index];
        while (!target.running.empty() && target.running.begin()->first <= m_now) {
            const auto [request, placedAt] = target.running.begin()->second;
            target.running.erase(target.running.begin());
            if (!target.queue.empty()) {
                start(index, target.queue.front().first, target.queue.front().second);
                target.queue.pop_front();
            }
            Daemon &daemon = m_daemons[size_t(request.daemon)];
            if (!daemon.isAlive)
                continue;
            changeLoad(daemon, index, -1);
            daemon.hasNews = true;
            recordUse(daemon.usage, workspace(request), toSeconds(m_now - placedAt) * 1000, m_now);
            const Caller &caller = m_callers[request.caller];
            if (caller.isCounted && m_now - caller.first <= Objective)
                ++m_onTimeOfGroup[caller.group];
        }
    }

    void addCallers()
    {
        const double capacity = SlotCount * m_scenario.targets / toSeconds(Service);
        for (size_t group = 0; group < m_owed.size(); ++group) {
            // Arrivals are random (exponential intervals).
            double &owed = m_owed[group];
            owed += m_scenario.groups[group].load * capacity * toSeconds(Step);
            for (; owed > 0; owed += std::log(1 - fraction())) {
                m_callers.push_back({group, m_now, 0, isMeasured()});
                arrive(m_callers.size() - 1);
            }
        }
    }

    int chooseDaemon()
    {
        const int busy = std::max(m_scenario.daemons / 6, 1);
        const bool isBusy = fraction() < m_scenario.busyFraction;
        // The busy ones are spread over the data centres.
        const int chosen = isBusy ? int(fraction() * busy) * (m_scenario.daemons / busy)
                                  : int(fraction() * m_scenario.daemons);
        return m_daemons[size_t(chosen)].isAlive ? chosen : chooseDaemon();
    }

    void arrive(size_t index)
    {
        Caller &caller = m_callers[index];
        Request request{index, chooseDaemon(), {0, ReturnKind::New, m_now}};
        Daemon &daemon = m_daemons[size_t(request.daemon)];
        // Callers at a daemon with a fault are not compared.
        const bool isFaulty =
            (m_scenario.kills || m_scenario.cutsOff) && &daemon == &m_daemons.back();
        if (++caller.attempts == 1) {
            caller.isCounted = caller.isCounted && !isFaulty;
            m_callersOfGroup[caller.group] += caller.isCounted ? 1 : 0;
        }
        const bool isBusy = !daemon.waiting.empty() || hasWaiting(daemon.demand, m_now);
        const int overuse =
            isReports() && isBusy ? overuseLevel(daemon.usage, workspace(request), {}, m_now) : 0;
        request.urgency.level =
            urgencyLevel(combinedPriority(std::nullopt, group(request).priority), overuse);
        if (m_scenario.returns == ReturnPolicy::Promises)
            request.urgency.returns =
                takePromise(daemon.promises, fingerprint(index), callerTime(caller), m_now);
        else if (m_scenario.returns == ReturnPolicy::HashWindow && untilWindow(index).count() == 0)
            request.urgency.returns = ReturnKind::AsTold;
        if (tryPlace(daemon, request, isReports() ? ownAhead(daemon, request) : Work())
            || rejectIfHopeless(daemon, request, ownAhead(daemon, request), AcceptedWaitFraction))
            return;
        daemon.waiting.push_back(request);
        waitingChanged(daemon);
    }

    Milliseconds callerTime(const Caller &caller) const
    {
        return CallerTime - std::chrono::duration_cast<Milliseconds>(m_now - caller.first);
    }

    Work ownAhead(const Daemon &daemon, const Request &request) const
    {
        const auto count = std::count_if(
            daemon.waiting.begin(), daemon.waiting.end(),
            [&](const Request &waiting) { return isMoreUrgent(waiting.urgency, request.urgency); });
        return double(count) * Work{1, 1};
    }

    /// The targets that a daemon may use, from the first to before the last.
    std::pair<size_t, size_t> targetsOf(int daemon) const
    {
        const size_t own = size_t(centre(daemon, m_scenario.daemons));
        const size_t count = m_targets.size() / size_t(m_scenario.dataCentres);
        return {own * count, (own + 1) * count};
    }

    double roomAt(const Daemon &daemon, int index) const
    {
        const auto targets = targetsOf(index);
        double room = 0;
        for (size_t target = targets.first; target < targets.second; ++target)
            room += std::max(TargetLimit - daemon.known[target], 0);
        return room;
    }

    bool tryPlace(Daemon &daemon, const Request &request, const Work &ownAhead)
    {
        const std::pair<size_t, size_t> targets = targetsOf(request.daemon);
        const size_t count = targets.second - targets.first;
        const double room = roomAt(daemon, request.daemon);
        if (room < 1 && !m_scenario.keepsIdleTime)
            daemon.idleSince.reset();
        if (room < 1 || !isTurn(daemon, request, ownAhead, room, double(count) * TargetLimit))
            return false;
        // Of targets with the same expected time, daemons choose at random.
        size_t best = 0;
        double bestTime = INFINITY;
        const size_t first = size_t(fraction() * double(count));
        for (size_t i = 0; i < count; ++i) {
            const size_t target = targets.first + (first + i) % count;
            const int load = daemon.known[target];
            const double time = expectedTime(double(Service.count()), load, SlotCount);
            if (load < TargetLimit && time < bestTime) {
                best = target;
                bestTime = time;
            }
        }
        recordBusy(daemon, !daemon.waiting.empty());
        recordPlaced(daemon.recorder, request.urgency, 1, m_now);
        changeLoad(daemon, best, 1);
        if (m_targets[best].running.size() < SlotCount)
            start(best, request, m_now);
        else
            m_targets[best].queue.emplace_back(request, m_now);
        return true;
    }

    bool isTurn(Daemon &daemon, const Request &request, const Work &ownAhead, double room,
                double total)
    {
        if (m_scenario.order == OrderPolicy::Threshold)
            return group(request).priority == 0 || room >= 1 + ReserveFraction * total;
        if (m_scenario.order == OrderPolicy::Race)
            return true;
        const Work ahead = ownAhead + workAhead(daemon.demand, request.urgency, m_now);
        const auto idle =
            std::chrono::duration_cast<Milliseconds>(m_now - daemon.idleSince.value_or(m_now));
        if (ahead.room > 0 && !mayTakeRoom(room, ahead.room, 1, idle)) {
            daemon.idleSince = daemon.idleSince.value_or(m_now);
            return false;
        }
        if (ahead.room > 0)
            daemon.idleSince.reset();
        return true;
    }

    /// Also rejects a request that has waited too long.
    bool rejectIfHopeless(Daemon &daemon, const Request &request, const Work &ownAhead,
                          double accepted)
    {
        const auto limit =
            std::chrono::duration_cast<Milliseconds>(request.urgency.arrived + WaitLimit - m_now);
        if (!isReports()) {
            if (limit.count() <= 0)
                reject(daemon, request, 0, std::nullopt);
            return limit.count() <= 0;
        }
        const Urgency &urgency = request.urgency;
        setRates(daemon.demand.own, daemon.recorder, m_now);
        double ahead = (ownAhead + workAhead(daemon.demand, urgency, m_now)).roomSeconds;
        if (urgency.returns == ReturnKind::New)
            ahead += promisedWork(daemon.promises, urgency.level, m_now, m_now + limit);
        const auto wait = expectedWait(daemon.demand, urgency, ahead + 1, m_now);
        const bool isHopeless = wait && *wait > accepted * limit;
        if (limit.count() > 0 && !isHopeless && urgency.returns != ReturnKind::Early)
            return false;
        reject(daemon, request, ahead, placedPerSecond(daemon.demand, urgency, m_now));
        return true;
    }

    void reject(Daemon &daemon, const Request &request, double ahead, std::optional<double> rate)
    {
        const Caller &caller = m_callers[request.caller];
        const CallerKind kind = group(request).kind;
        const Milliseconds told = returnTime(daemon, request, ahead, rate);
        if (kind == CallerKind::GivesUp || caller.attempts == MaxAttempts
            || (kind == CallerKind::RetriesWhenTold && !isKept(told, callerTime(caller))))
            return;
        const Milliseconds delay = kind == CallerKind::RetriesAtOnce ? RetryAtOnceDelay : told;
        m_returns.emplace(m_now + delay, request.caller);
    }

    Milliseconds returnTime(Daemon &daemon, const Request &request, double ahead,
                            std::optional<double> rate)
    {
        if (m_scenario.returns == ReturnPolicy::OneTime)
            return OneReturnDelay;
        if (m_scenario.returns == ReturnPolicy::HashWindow)
            return std::max(untilWindow(request.caller), RetryAtOnceDelay);
        const quint64 key = fingerprint(request.caller);
        const Milliseconds due = untilDue(daemon.promises, key, m_now);
        if (request.urgency.returns == ReturnKind::Early && due.count() > 0)
            return due;
        const int level = request.urgency.level;
        const double before =
            ahead + promisedWork(daemon.promises, level, m_now, MonotonicTime::max());
        const Milliseconds left = callerTime(m_callers[request.caller]);
        const Milliseconds delay = returnDelay(before + 1, rate.value_or(0), fraction());
        const bool isFirm =
            rate && isKept(delay, left) && m_now + delay <= request.urgency.arrived + Objective;
        Message message;
        message.kind = Message::Kind::Promise;
        message.from = request.daemon;
        message.promise = {key, m_now + delay, left, level, 1, isFirm};
        addPromise(daemon.promises, message.promise, m_now);
        send(message);
        return delay;
    }

    /// The time until the window reaches the hash of a request; zero while it covers it.
    Milliseconds untilWindow(size_t caller) const
    {
        const double hash = double(fingerprint(caller) >> 32U) / 4294967296.0;
        const double position =
            std::fmod(toSeconds(m_now - m_start) / toSeconds(WindowPeriod), 1.0);
        const double behind = std::fmod(hash - position + 1, 1.0);
        return behind > 1 - WindowWidth
            ? Milliseconds(0)
            : Milliseconds(qint64(behind * double(WindowPeriod.count())));
    }

    void recordBusy(Daemon &daemon, bool isWaiting)
    {
        cranberry::recordBusy(daemon.recorder, isWaiting || hasWaiting(daemon.demand, m_now),
                              m_now);
    }

    int receivers() const { return m_scenario.daemons / m_scenario.dataCentres - 1; }

    void waitingChanged(Daemon &daemon)
    {
        recordBusy(daemon, !daemon.waiting.empty());
        const MonotonicTime due =
            daemon.demandSentAt + std::max(Milliseconds(50), receivers() * Milliseconds(2));
        daemon.demandAt = std::min(daemon.demandAt, std::max(m_now, due));
    }

    void tryWaiting(Daemon &daemon, bool isCheck)
    {
        // Room counts as left by others only while a request of this daemon watches it.
        const bool hasRoom =
            !daemon.waiting.empty() && roomAt(daemon, daemon.waiting.front().daemon) >= 1;
        if (!hasRoom && !m_scenario.keepsIdleTime)
            daemon.idleSince.reset();
        if (daemon.waiting.empty() || (!isCheck && !hasRoom))
            return;
        std::stable_sort(
            daemon.waiting.begin(), daemon.waiting.end(),
            [](const Request &a, const Request &b) { return isMoreUrgent(a.urgency, b.urgency); });
        Work before;
        std::vector<Request> left;
        // Less urgent ones have more work ahead, so that they cannot be placed either.
        bool isHeld = false;
        for (const Request &request : daemon.waiting) {
            if (!isHeld && tryPlace(daemon, request, before))
                continue;
            isHeld = true;
            if (isCheck && rejectIfHopeless(daemon, request, before, 1))
                continue;
            left.push_back(request);
            before = before + Work{1, 1};
        }
        if (std::exchange(daemon.waiting, left).size() != daemon.waiting.size())
            waitingChanged(daemon);
    }

    void runTimers(int index)
    {
        Daemon &daemon = m_daemons[size_t(index)];
        const bool isCheck = m_now >= daemon.checkAt;
        if (isCheck) {
            daemon.checkAt = m_now + CheckInterval;
            for (int peer = 0; peer < m_scenario.daemons; ++peer) {
                if (m_now - daemon.peers[size_t(peer)].second > LoadTimeout)
                    setLoads(daemon, peer, {});
            }
            recordBusy(daemon, !daemon.waiting.empty());
        }
        if (std::exchange(daemon.hasNews, false))
            daemon.passAt = std::min(daemon.passAt, m_now + PassDelay);
        if (m_now >= daemon.passAt || isCheck) {
            daemon.passAt = MonotonicTime::max();
            tryWaiting(daemon, isCheck);
        }
        if (m_now >= std::min(daemon.loadsAt, daemon.loadsSentAt + LoadRepeatInterval)) {
            daemon.loadsAt = MonotonicTime::max();
            daemon.loadsSentAt = m_now;
            send({Message::Kind::Loads, index, daemon.own, {}, {}, {}});
        }
        if (!isReports())
            return;
        if (m_now >= daemon.demandAt)
            sendDemand(index, daemon);
        if (m_now >= daemon.ratesAt) {
            daemon.ratesAt = m_now + RatesInterval;
            DaemonDemand rates;
            setRates(rates, daemon.recorder, m_now);
            send({Message::Kind::Rates,
                  index,
                  {},
                  rates,
                  ownRates(daemon.usage, MaxReportedWorkspaces, m_now),
                  {}});
        }
    }

    void sendDemand(int index, Daemon &daemon)
    {
        std::map<std::pair<int, ReturnKind>, WaitingWork> groups;
        for (const Request &request : daemon.waiting) {
            const Urgency &urgency = request.urgency;
            WaitingWork &group = groups[{urgency.level, urgency.returns}];
            const MonotonicTime oldest = group.requests == 0 ? m_now : group.oldest;
            group = {urgency.level, urgency.returns, group.requests + 1, group.work + Work{1, 1},
                     std::min(oldest, urgency.arrived)};
        }
        DaemonDemand demand;
        for (const auto &[key, group] : groups)
            demand.waiting.append(group);
        const Milliseconds repeat =
            std::clamp(receivers() * Milliseconds(4), Milliseconds(150), Milliseconds(400));
        daemon.demandAt = daemon.waiting.empty() ? MonotonicTime::max() : m_now + repeat;
        if (!std::exchange(daemon.hasReported, !daemon.waiting.empty()) && daemon.waiting.empty())
            return;
        daemon.demandSentAt = m_now;
        send({Message::Kind::Demand,
              index,
              {},
              demand,
              ownRates(daemon.usage, MaxReportedWorkspaces, m_now),
              {}});
    }

    const AdmissionScenario m_scenario;
    std::mt19937 m_random;
    const MonotonicTime m_start{std::chrono::hours(1)};
    MonotonicTime m_now = m_start;
    std::vector<Daemon> m_daemons;
    std::vector<Target> m_targets;
    std::vector<VmId> m_vms;
    std::vector<Caller> m_callers;
    std::multimap<MonotonicTime, size_t> m_returns;
    std::vector<std::vector<std::pair<int, std::shared_ptr<const Message>>>> m_arrivals;
    std::vector<double> m_owed;
    std::vector<double> m_callersOfGroup;
    std::vector<double> m_onTimeOfGroup;
    double m_served = 0;
    double m_datagrams = 0;
};

} // namespace

AdmissionOutcome simulateAdmission(const AdmissionScenario &scenario, unsigned seed)
{
    return Simulation(scenario, seed).run();
}

} // namespace cranberry::test
