// Feeds one synthetic arrival trace to each placement policy over engine models, in virtual
// time. It compares decisions; it is no stand-in for measurements against processes.
#include "admission/AdmissionQueue.h"
#include "admission/CreditExchange.h"
#include "admission/PlacementRouter.h"
#include "base/EventLog.h"
#include "performance/FleetFakes.h"
#include "performance/SyntheticTrace.h"
#include "placement/TargetTable.h"

#include <gflags/gflags.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <numeric>
#include <random>
#include <sstream>
#include <vector>

DEFINE_int32(targets, 10, "engine models");
DEFINE_int32(daemons, 6, "deciding daemons");
DEFINE_int32(workspaces, 10, "workspaces");
DEFINE_int32(seeds, 5, "traces for each load");
DEFINE_int32(first_seed, 1, "seed of the first trace");
DEFINE_int32(seconds, 90, "virtual seconds of arrivals; the first third is not measured");
DEFINE_string(loads, "70,90,100,120", "percent of the rate that would fill all memory");
DEFINE_string(policies, "round_robin,least_requests,two_choices,forecast", "in this order");
DEFINE_string(objective, "stall", "stall or inter_token");
DEFINE_double(chance, 0.02, "preemption chance of the service");
DEFINE_int32(deadline_ms, 60000, "deadline of the whole answer");
DEFINE_double(length_sigma, 0.9, "spread of answer lengths, as the sigma of a log-normal");
DEFINE_int32(report_ms, 250, "interval of load reports");
DEFINE_int32(lag_ms, 100, "age of a load report when it arrives");
DEFINE_double(peer_ms, 1.5, "one way of a message between daemons");
DEFINE_bool(homes, true, "forecast: each target's room is given out by one daemon");
DEFINE_int32(prefix_tokens, 96, "tokens that the prompts of a kind share");
DEFINE_double(prompt_median, 160, "median of the other prompt tokens");
DEFINE_double(greedy, 1, "factor on the arrivals of workspace 0");

namespace cranberry::bench {
namespace {

using test::Engine;
using test::EngineStep;

constexpr double StallMs = 250;
/// Asks of other daemons take a few milliseconds.
constexpr double AtOnceMs = 100;
constexpr int WarmUpParts = 3;
const ServiceId Service(QStringLiteral("s"));
const ModelId Model(QStringLiteral("m"));

struct Measures {
    double preemptions = 0;
    double stallSeconds = 0;
    double interTokenP99 = 0;
    double firstTokenP95 = 0;
    /// Tokens of answers that came whole before the deadline, a second.
    double goodput = 0;
    double refused = 0;
    double refusedLater = 0;
    double arrivals = 0;
    double messages = 0;
    /// Sends that found their prefix cached.
    double prefixHits = 0;
    double sends = 0;
    std::vector<double> goodTokens;
    std::vector<double> offeredTokens;
    /// Of the workspaces but the first the least part of its max-min share that one got.
    double leastShare = 0;
};

double quantile(std::vector<double> values, double part)
{
    if (values.empty())
        return 0;
    const auto place = values.begin() + qsizetype(part * double(values.size() - 1));
    std::nth_element(values.begin(), place, values.end());
    return *place;
}

/// What each workspace would get of @p all tokens if nobody got more than it wants and the
/// rest were shared equally.
std::vector<double> maxMinShares(std::vector<double> wanted, double all)
{
    std::vector<size_t> order(wanted.size());
    std::iota(order.begin(), order.end(), size_t(0));
    std::sort(order.begin(), order.end(),
              [&](size_t a, size_t b) { return wanted[a] < wanted[b]; });
    auto left = double(wanted.size());
    for (const size_t workspace : order) {
        wanted[workspace] = std::min(wanted[workspace], all / left);
        all -= wanted[workspace];
        left -= 1;
    }
    return wanted;
}

double leastShare(const Measures &measures)
{
    const std::vector<double> &good = measures.goodTokens;
    const double all = std::accumulate(good.begin(), good.end(), 0.0);
    const std::vector<double> shares = maxMinShares(measures.offeredTokens, all);
    double least = 1;
    for (size_t i = 1; i < good.size(); ++i)
        least = std::min(least, shares[i] > 0 ? good[i] / shares[i] : 1);
    return least;
}

class Run
{
public:
    Run(PolicyName policy, quint64 seed, double rate);
    Measures measure();

private:
    struct Daemon {
        TargetTable table;
        std::unique_ptr<AdmissionQueue> queue;
        std::unique_ptr<test::FixedMembers> members;
        std::unique_ptr<DelayedNetwork> network;
        std::unique_ptr<CreditExchange> exchange;
        std::unique_ptr<PlacementRouter> router;
    };
    struct Host {
        Engine engine;
        bool stepping = false;
    };
    struct Answer {
        int target = -1;
        MonotonicTime arrived;
        MonotonicTime lastToken;
        int tokens = 0;
        bool measured = false;
    };

    void makeDaemons(PolicyName policy, quint64 seed);
    void arrive(int number);
    void send(int number, const TargetId &target);
    void refuse(int number);
    void startStep(int index);
    void finishStep(int index, const EngineStep &step);
    void token(int number);
    void finish(int number);
    void report(int index);
    bool warm() const;

    std::vector<Arrival> m_arrivals;
    VirtualTime m_time;
    MonotonicTime m_start = m_time.now();
    std::shared_ptr<Configuration> m_configuration = std::make_shared<Configuration>();
    DelayedNetwork::Peers m_peers;
    std::vector<std::unique_ptr<Daemon>> m_daemons;
    std::vector<Host> m_hosts;
    std::vector<Answer> m_answers;
    std::vector<double> m_gaps;
    std::vector<double> m_firstTokens;
    Measures m_measures;
};

Run::Run(PolicyName policy, quint64 seed, double rate)
    : m_arrivals(trace(seed, rate))
    , m_hosts(size_t(FLAGS_targets))
    , m_answers(m_arrivals.size())
{
    m_measures.goodTokens.resize(size_t(FLAGS_workspaces));
    m_measures.offeredTokens.resize(size_t(FLAGS_workspaces));
    makeDaemons(policy, seed);
    for (size_t i = 0; i < m_arrivals.size(); ++i)
        m_time.at(m_start + fromMs(m_arrivals[i].atMs), [this, i] { arrive(int(i)); });
    for (int host = 0; host < FLAGS_targets; ++host)
        report(host);
}

void Run::makeDaemons(PolicyName policy, quint64 seed)
{
    ServiceConfiguration service;
    service.policy = policy;
    service.preemptionChance = FLAGS_chance;
    service.objective = FLAGS_objective == "stall" ? Objective::Stall : Objective::InterToken;
    m_configuration->services.insert(Service, service);
    for (int i = 0; i < FLAGS_workspaces; ++i)
        m_configuration->workspaces.insert(WorkspaceId(QString::number(i)), {});
    for (int i = 0; i < FLAGS_targets; ++i)
        m_configuration->targets.insert(TargetId(QString::number(i)), {Service, {}, {}, {Model}});
    for (int i = 0; i < FLAGS_daemons; ++i) {
        auto daemon = std::make_unique<Daemon>();
        auto random = std::make_shared<std::mt19937_64>(seed * 100 + quint64(i));
        const auto draw = [random] { return (*random)(); };
        const VmId self(QString::number(i));
        daemon->queue = std::make_unique<AdmissionQueue>(m_time, daemon->table, draw);
        daemon->members = std::make_unique<test::FixedMembers>(
            numberedMembers(self, FLAGS_homes ? FLAGS_daemons : 0));
        daemon->network =
            std::make_unique<DelayedNetwork>(m_time, self, m_peers, m_measures.messages);
        daemon->exchange =
            std::make_unique<CreditExchange>(m_time, *daemon->network, *daemon->queue);
        daemon->router = std::make_unique<PlacementRouter>(
            m_time, daemon->table, *daemon->queue, *daemon->exchange, *daemon->members, draw);
        daemon->table.setConfiguration(*m_configuration);
        daemon->router->setConfiguration(m_configuration);
        m_daemons.push_back(std::move(daemon));
    }
}

bool Run::warm() const
{
    return toMs(m_time.now() - m_start) * WarmUpParts >= FLAGS_seconds * MsPerSecond;
}

void Run::arrive(int number)
{
    const Arrival &arrival = m_arrivals[size_t(number)];
    Answer &answer = m_answers[size_t(number)];
    answer.arrived = m_time.now();
    answer.measured = warm();
    m_measures.arrivals += answer.measured;
    if (answer.measured)
        m_measures.offeredTokens[size_t(arrival.workspace)] += arrival.length;
    AdmissionRequest request;
    request.placement.request = RequestId(QString::number(number));
    request.attempt = AttemptId(QString::number(number));
    request.placement.service = Service;
    request.placement.model = Model;
    request.placement.workspace = WorkspaceId(QString::number(arrival.workspace));
    request.placement.promptTokens = Tokens(arrival.prompt);
    request.placement.maxTokens = Tokens(MaxTokens);
    request.placement.prefixHash =
        quint64(arrival.workspace) * PrefixesAWorkspace + quint64(arrival.prefix) + 1;
    request.deadline = m_time.now() + Milliseconds(FLAGS_deadline_ms);
    const auto outcome = [this, number](const Result<TargetId> &result) {
        if (result.has_value())
            send(number, result.value());
        else
            refuse(number);
    };
    const Daemon &daemon = *m_daemons[size_t(arrival.daemon)];
    if (FLAGS_homes)
        daemon.router->enqueue(request, outcome);
    else
        daemon.queue->enqueue(request, outcome);
}

void Run::send(int number, const TargetId &target)
{
    const Arrival &arrival = m_arrivals[size_t(number)];
    Answer &answer = m_answers[size_t(number)];
    answer.target = target.text().toInt();
    test::Generation generation;
    generation.attempt = QByteArray::number(number);
    generation.promptTokens = arrival.prompt;
    generation.length = arrival.length;
    generation.prefixKey =
        QByteArray::number(arrival.workspace * PrefixesAWorkspace + arrival.prefix);
    generation.prefixTokens = FLAGS_prefix_tokens;
    Host &host = m_hosts[size_t(answer.target)];
    if (answer.measured) {
        m_measures.sends += 1;
        m_measures.prefixHits += host.engine.cache.contains(generation.prefixKey);
    }
    test::submit(host.engine, generation);
    if (!host.stepping)
        startStep(answer.target);
}

void Run::refuse(int number)
{
    const Answer &answer = m_answers[size_t(number)];
    if (!answer.measured)
        return;
    m_measures.refused += 1;
    m_measures.refusedLater += toMs(m_time.now() - answer.arrived) > AtOnceMs;
}

void Run::startStep(int index)
{
    Host &host = m_hosts[size_t(index)];
    host.stepping = true;
    const EngineStep step = test::step(host.engine);
    m_time.at(m_time.now() + fromMs(step.durationMs),
              [this, index, step] { finishStep(index, step); });
}

void Run::finishStep(int index, const EngineStep &step)
{
    Host &host = m_hosts[size_t(index)];
    if (warm())
        m_measures.preemptions += step.preemptions;
    for (const QByteArray &attempt : step.advanced)
        token(attempt.toInt());
    if (test::isIdle(host.engine))
        host.stepping = false;
    else
        startStep(index);
}

void Run::token(int number)
{
    Answer &answer = m_answers[size_t(number)];
    const MonotonicTime now = m_time.now();
    if (answer.measured && answer.tokens == 0)
        m_firstTokens.push_back(toMs(now - answer.arrived));
    if (answer.measured && answer.tokens > 0) {
        const double gap = toMs(now - answer.lastToken);
        m_gaps.push_back(gap);
        m_measures.stallSeconds += std::max(0.0, gap - StallMs) / MsPerSecond;
    }
    answer.lastToken = now;
    ++answer.tokens;
    const Arrival &arrival = m_arrivals[size_t(number)];
    m_daemons[size_t(arrival.daemon)]->queue->tokenReceived(AttemptId(QString::number(number)));
    if (answer.tokens == arrival.length)
        finish(number);
}

void Run::finish(int number)
{
    const Arrival &arrival = m_arrivals[size_t(number)];
    const Answer &answer = m_answers[size_t(number)];
    if (answer.measured && toMs(m_time.now() - answer.arrived) <= FLAGS_deadline_ms) {
        m_measures.goodput += arrival.length;
        m_measures.goodTokens[size_t(arrival.workspace)] += arrival.length;
    }
    m_hosts[size_t(answer.target)].engine.generations.remove(QByteArray::number(number));
    AdmissionQueue &queue = *m_daemons[size_t(arrival.daemon)]->queue;
    queue.requestEnded(RequestId(QString::number(number)));
    queue.attemptEnded(AttemptId(QString::number(number)), AttemptEnd::Finished);
}

void Run::report(int index)
{
    const Engine &engine = m_hosts[size_t(index)].engine;
    LoadReport made;
    made.incarnation = Incarnation(1);
    made.residentTokens = Tokens(test::usedBlocks(engine) * engine.settings.blockTokens);
    made.capacityTokens = Tokens(engine.settings.capacityTokens);
    made.running = int(engine.batch.size());
    made.waiting = int(engine.waiting.size());
    made.preemptions = engine.preemptions;
    made.age = Milliseconds(FLAGS_lag_ms);
    m_time.at(m_time.now() + Milliseconds(FLAGS_lag_ms), [this, index, made] {
        for (const auto &daemon : m_daemons) {
            daemon->table.reportReceived(TargetId(QString::number(index)), made, m_time.now());
            daemon->queue->capacityChanged();
        }
    });
    m_time.at(m_time.now() + Milliseconds(FLAGS_report_ms), [this, index] { report(index); });
}

Measures Run::measure()
{
    // What is under way at the end of the trace may still end in time.
    m_time.run(m_start + std::chrono::seconds(FLAGS_seconds) + Milliseconds(FLAGS_deadline_ms));
    m_measures.interTokenP99 = quantile(m_gaps, 0.99);
    m_measures.firstTokenP95 = quantile(m_firstTokens, 0.95);
    m_measures.goodput /= double(FLAGS_seconds) * (WarmUpParts - 1) / WarmUpParts;
    m_measures.leastShare = leastShare(m_measures);
    return m_measures;
}

PolicyName policyNamed(const std::string &name)
{
    if (name == "round_robin")
        return PolicyName::RoundRobin;
    if (name == "least_requests")
        return PolicyName::LeastRequests;
    return name == "two_choices" ? PolicyName::TwoChoices : PolicyName::Forecast;
}

std::vector<std::string> split(const std::string &list)
{
    std::vector<std::string> parts;
    std::stringstream stream(list);
    for (std::string part; std::getline(stream, part, ',');)
        parts.push_back(part);
    return parts;
}

void measurePolicy(const std::string &name, int load, double full)
{
    std::vector<Measures> all;
    for (int seed = 0; seed < FLAGS_seeds; ++seed) {
        Run run(policyNamed(name), quint64(FLAGS_first_seed + seed), full * load / 100);
        all.push_back(run.measure());
    }
    const auto of = [&](double Measures::*member) {
        std::vector<double> values;
        values.reserve(all.size());
        for (const Measures &measures : all)
            values.push_back(measures.*member);
        return quantile(values, 0.5);
    };
    std::printf("load=%d policy=%s preemptions=%.0f stall_s=%.2f p99_ms=%.1f ttft_p95_ms=%.0f "
                "goodput=%.0f arrivals=%.0f refused=%.0f refused_later=%.0f least_share=%.3f "
                "messages=%.0f hits=%.0f/%.0f\n",
                load, name.c_str(), of(&Measures::preemptions), of(&Measures::stallSeconds),
                of(&Measures::interTokenP99), of(&Measures::firstTokenP95), of(&Measures::goodput),
                of(&Measures::arrivals), of(&Measures::refused), of(&Measures::refusedLater),
                of(&Measures::leastShare), of(&Measures::messages), of(&Measures::prefixHits),
                of(&Measures::sends));
    std::fflush(stdout);
}

} // namespace
} // namespace cranberry::bench

int main(int argc, char **argv)
{
    using namespace cranberry;
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    setLogLevel(LogLevel::Error);
    const double full = bench::fullRate();
    std::printf("targets=%d daemons=%d objective=%s chance=%g full_rate=%.1f/s seeds=%d\n",
                FLAGS_targets, FLAGS_daemons, FLAGS_objective.c_str(), FLAGS_chance, full,
                FLAGS_seeds);
    for (const std::string &load : bench::split(FLAGS_loads)) {
        for (const std::string &policy : bench::split(FLAGS_policies))
            bench::measurePolicy(policy, std::stoi(load), full);
    }
    return 0;
}
