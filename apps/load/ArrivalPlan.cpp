#include "load/ArrivalPlan.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace cranberry::load {

namespace {

constexpr int BytesPerToken = 4;
constexpr double MaxPromptTokens = 1500;

using Generator = std::mt19937_64;

double uniform(Generator &generator)
{
    return std::uniform_real_distribution<double>(0, 1)(generator);
}

QString randomText(Generator &generator, int bytes)
{
    QString text;
    text.reserve(bytes);
    while (text.size() < bytes)
        text += QChar::fromLatin1(char('a' + generator() % 26));
    return text;
}

/// The text of shared prefix @p number of @p workspace. It does not depend on the seed of the load.
QString sharedPrefix(const TrafficMix &mix, int workspace, int number)
{
    Generator generator(quint64(workspace) * 1000 + quint64(number));
    return randomText(generator, mix.prefixTokens * BytesPerToken);
}

QString drawPrompt(const TrafficMix &mix, int workspace, const QString &name, Generator &generator)
{
    std::lognormal_distribution<double> lengths(std::log(mix.promptMedianTokens), mix.promptSigma);
    const double drawn = std::min(lengths(generator), MaxPromptTokens);
    const int bytes = std::max(1, int(drawn)) * BytesPerToken;
    QString prompt;
    if (uniform(generator) < mix.sharedPrefixShare) {
        const int number = int(generator() % quint64(std::max(1, mix.prefixesPerWorkspace)));
        prompt = sharedPrefix(mix, workspace, number);
    }
    prompt += QLatin1Char(' ') + name + QLatin1Char(' ');
    return prompt + randomText(generator, std::max(0, int(bytes - prompt.size())));
}

QList<double> workspaceWeights(const TrafficMix &mix)
{
    QList<double> weights;
    for (int i = 0; i < mix.keys.size(); ++i)
        weights.append(i < mix.largeWorkspaces ? mix.largeFactor : 1.0);
    weights.last() *= mix.greedyFactor;
    return weights;
}

/// The rate of all workspaces, including the requests that the greedy workspace sends on top of its
/// share.
double totalRate(const TrafficMix &mix, const QList<double> &weights)
{
    double sum = 0;
    for (const double weight : weights)
        sum += weight;
    const double fairSum = sum - weights.last() + weights.last() / mix.greedyFactor;
    return mix.rate * sum / fairSum;
}

} // namespace

QList<PlannedRequest> planArrivals(const TrafficMix &mix, quint64 seed)
{
    Generator generator(seed);
    const QList<double> weights = workspaceWeights(mix);
    std::discrete_distribution<int> workspaces(weights.begin(), weights.end());
    std::exponential_distribution<double> intervals(totalRate(mix, weights) / 1000.0);
    QList<PlannedRequest> plan;
    double arrivalMs = intervals(generator);
    while (arrivalMs < double(mix.duration.count())) {
        PlannedRequest request;
        request.sendOffset = Milliseconds(qint64(arrivalMs));
        request.workspace = workspaces(generator);
        request.maxTokens = mix.maxTokens;
        request.deadline = mix.deadline;
        request.gatewayDraw = generator();
        const bool isPlain = uniform(generator) < mix.plainShare;
        const bool isChat = uniform(generator) < mix.chatShare;
        request.kind = isPlain ? RequestKind::Plain
            : isChat           ? RequestKind::Chat
                               : RequestKind::Completion;
        request.atMostOnce = uniform(generator) < mix.atMostOnceShare;
        const QString name = QStringLiteral("request %1-%2").arg(seed).arg(plan.size());
        request.prompt = isPlain ? name : drawPrompt(mix, request.workspace, name, generator);
        plan.append(request);
        arrivalMs += intervals(generator);
    }
    return plan;
}

} // namespace cranberry::load
