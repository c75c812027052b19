// What a daemon adds to the time of a first token and of each token, against the engine direct.
#include "base/TimerSubscription.h"
#include "http/HttpExchangeOptions.h"
#include "support/Fleet.h"
#include "support/FleetStream.h"

#include <QCoreApplication>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <functional>

using namespace cranberry;
using namespace cranberry::test;

namespace {

constexpr int Rounds = 40;
constexpr int StreamsAtOnce = 8;
constexpr int TokensOfEach = 100;
constexpr double MicrosecondsPerMillisecond = 1000.0;

using Stream = std::unique_ptr<FleetStream>;
using Samples = std::vector<double>;

double millisecondsBetween(MonotonicTime from, MonotonicTime to)
{
    const auto passed = std::chrono::duration_cast<std::chrono::microseconds>(to - from);
    return double(passed.count()) / MicrosecondsPerMillisecond;
}

double quantile(Samples samples, double part)
{
    if (samples.empty())
        return 0;
    std::sort(samples.begin(), samples.end());
    const auto index = size_t(part * double(samples.size() - 1));
    return samples[index];
}

void print(const char *what, const Samples &samples)
{
    std::printf("%-34s %7zu samples   p50 %8.3f ms   p99 %8.3f ms\n", what, samples.size(),
                quantile(samples, 0.5), quantile(samples, 0.99));
}

/// Sleeps in the event loop, so that arrivals are stamped when they happen.
void runUntil(const std::function<bool()> &condition)
{
    while (!condition())
        QCoreApplication::processEvents(QEventLoop::WaitForMoreEvents);
}

QJsonObject completion(const QString &prompt)
{
    return {{QStringLiteral("model"), QStringLiteral("m1")},
            {QStringLiteral("prompt"), prompt},
            {QStringLiteral("max_tokens"), TokensOfEach},
            {QStringLiteral("stream"), true}};
}

/// First token and gaps of streams of one way, by the caller's clock.
struct WayFigures {
    Samples firstToken;
    Samples gaps;

    void add(const FleetStream &stream, MonotonicTime sentAt)
    {
        const QList<ReceivedToken> &tokens = stream.answer().tokens();
        if (tokens.isEmpty())
            return;
        firstToken.push_back(millisecondsBetween(sentAt, tokens.first().at));
        for (int i = 1; i < tokens.size(); ++i)
            gaps.push_back(millisecondsBetween(tokens.at(i - 1).at, tokens.at(i).at));
    }
};

/// Sends @p count requests by one way and waits for all.
void runRound(Fleet &fleet, bool direct, int count, int round, WayFigures &figures)
{
    std::vector<Stream> streams;
    std::vector<MonotonicTime> sentAt;
    streams.reserve(size_t(count));
    sentAt.reserve(size_t(count));
    const HttpEndpoint endpoint = direct ? fleet.engineEndpoint(0) : fleet.gateway(0);
    for (int i = 0; i < count; ++i) {
        // The same prompts by both ways, so that lengths and prompt work are the same.
        const QString prompt = QStringLiteral("delay %1 of round %2").arg(i).arg(round);
        sentAt.push_back(fleet.client().timers().now());
        streams.push_back(
            fleet.client().post(endpoint, "/v1/completions", completion(prompt), fleet.caller()));
    }
    runUntil([&] {
        return std::all_of(streams.begin(), streams.end(),
                           [](const Stream &stream) { return stream->isOver(); });
    });
    for (size_t i = 0; i < streams.size(); ++i)
        figures.add(*streams[i], sentAt[i]);
}

/// Follows one generation both through the daemon and at the engine itself: the difference of
/// the arrivals of each token is what the daemon added to it.
void followBothWays(Fleet &fleet, int round, Samples &added)
{
    const QString prompt = QStringLiteral("followed %1").arg(round);
    const Stream through = fleet.complete(0, prompt, TokensOfEach, fleet.caller());
    runUntil([&] { return through->tokenCount() > 0 || through->isOver(); });
    if (through->tokenCount() == 0)
        return;
    // The first token's text is "PROMPT.ATTEMPT ".
    const QByteArray first = through->answer().tokens().first().text.trimmed();
    const QByteArray attempt = first.mid(first.indexOf('.') + 1);
    const int seen = through->tokenCount();
    HttpRequest request{"GET", "/generations/" + attempt, {}, {}, {}};
    request.query.addQueryItem(QStringLiteral("from"), QString::number(seen));
    FleetStream direct(fleet.client().http(), fleet.client().timers(), fleet.engineEndpoint(0),
                       request, HttpExchangeOptions());
    runUntil([&] { return through->isOver() && direct.isOver(); });
    const QList<ReceivedToken> &late = through->answer().tokens();
    // The first tokens of the direct stream may come together, as it joins late.
    constexpr int JoiningTokens = 5;
    for (const ReceivedToken &token : direct.answer().tokens()) {
        if (token.id >= seen + JoiningTokens && token.id < late.size())
            added.push_back(millisecondsBetween(token.at, late.at(token.id).at));
    }
}

} // namespace

int main()
{
    FleetPlan plan;
    plan.daemons = 1;
    plan.engines = 1;
    Fleet fleet(plan);
    if (!fleet.start())
        return 1;
    WayFigures warmUp;
    runRound(fleet, false, 1, -1, warmUp); // the daemon has seen the engine's first report then
    WayFigures direct;
    WayFigures through;
    WayFigures directAlone;
    WayFigures throughAlone;
    Samples added;
    for (int round = 0; round < Rounds; ++round) {
        // The ways take turns in being first.
        const bool directFirst = round % 2 == 0;
        for (const bool first : {true, false}) {
            const bool isDirect = first == directFirst;
            runRound(fleet, isDirect, StreamsAtOnce, round, isDirect ? direct : through);
            runRound(fleet, isDirect, 1, round, isDirect ? directAlone : throughAlone);
        }
        followBothWays(fleet, round, added);
    }
    print("first token, alone, engine direct", directAlone.firstToken);
    print("first token, alone, daemon", throughAlone.firstToken);
    print("first token, 8 at once, direct", direct.firstToken);
    print("first token, 8 at once, daemon", through.firstToken);
    print("between tokens, 8 at once, direct", direct.gaps);
    print("between tokens, 8 at once, daemon", through.gaps);
    print("added to each token by the daemon", added);
    return 0;
}
