// Defines the synthetic arrivals of PolicyTrace, drawn by its flags.
#pragma once

#include "standins/target/EngineModel.h"

#include <gflags/gflags.h>

#include <algorithm>
#include <cmath>
#include <random>
#include <vector>

DECLARE_int32(daemons);
DECLARE_int32(workspaces);
DECLARE_int32(seconds);
DECLARE_int32(targets);
DECLARE_double(length_sigma);
DECLARE_int32(prefix_tokens);
DECLARE_double(prompt_median);
DECLARE_double(greedy);

namespace cranberry::bench {

constexpr double MsPerSecond = 1000;
constexpr int MaxTokens = 2048;
constexpr int PrefixesAWorkspace = 4;

constexpr double PromptSigma = 0.5;
constexpr int LongestPrompt = 1500;

struct Arrival {
    double atMs = 0;
    int workspace = 0;
    int prompt = 0;
    int length = 0;
    int prefix = 0;
    int daemon = 0;
};

inline int logNormal(std::mt19937_64 &random, double median, double sigma, int most)
{
    std::lognormal_distribution<double> draw(std::log(median), sigma);
    return std::clamp(int(draw(random)), 1, most);
}

/// Some workspaces write lines, some pages.
inline double medianLength(int workspace)
{
    constexpr double Shortest = 40;
    constexpr double Longest = 400;
    const double part = FLAGS_workspaces > 1 ? double(workspace) / (FLAGS_workspaces - 1) : 0;
    return Shortest * std::pow(Longest / Shortest, part);
}

inline Arrival drawArrival(std::mt19937_64 &random, int workspace)
{
    Arrival arrival;
    arrival.workspace = workspace;
    arrival.prompt =
        FLAGS_prefix_tokens + logNormal(random, FLAGS_prompt_median, PromptSigma, LongestPrompt);
    arrival.length = logNormal(random, medianLength(workspace), FLAGS_length_sigma, MaxTokens);
    arrival.prefix = int(random() % PrefixesAWorkspace);
    arrival.daemon = int(random() % quint64(FLAGS_daemons));
    return arrival;
}

/// Requests a second that would keep all memory exactly full, an upper bound that no policy
/// reaches: the memory that a request holds, summed over its steps, against what the targets
/// offer in a step of a full batch.
inline double fullRate()
{
    constexpr int Samples = 200'000;
    constexpr int SampleSeed = 99;
    std::mt19937_64 random(SampleSeed);
    const test::EngineSettings engine;
    double memory = 0;
    double steps = 0;
    double prefillMs = 0;
    for (int i = 0; i < Samples; ++i) {
        const Arrival a = drawArrival(random, i % FLAGS_workspaces);
        memory += (double(a.prompt) * a.length + double(a.length) * a.length / 2) / Samples;
        steps += double(a.length) / Samples;
        prefillMs += a.prompt * engine.stepPerPrefillTokenMs / Samples;
    }
    const double streams =
        std::min(double(engine.maxBatch), engine.capacityTokens * steps / memory);
    const double requestsAStep = streams / steps;
    const double stepMs =
        engine.stepBaseMs + streams * engine.stepPerStreamMs + requestsAStep * prefillMs;
    return requestsAStep / stepMs * MsPerSecond * FLAGS_targets;
}

inline std::vector<Arrival> trace(quint64 seed, double rate)
{
    std::mt19937_64 random(seed);
    std::vector<Arrival> arrivals;
    const double others = FLAGS_workspaces - 1;
    const double all = others + FLAGS_greedy;
    std::exponential_distribution<double> gap(rate / MsPerSecond * all / FLAGS_workspaces);
    std::uniform_real_distribution<double> which(0, all);
    for (double at = gap(random); at < FLAGS_seconds * MsPerSecond; at += gap(random)) {
        const double drawn = which(random);
        const int workspace = drawn < others ? 1 + int(drawn) : 0;
        arrivals.push_back(drawArrival(random, std::min(workspace, FLAGS_workspaces - 1)));
        arrivals.back().atMs = at;
    }
    return arrivals;
}

} // namespace cranberry::bench
