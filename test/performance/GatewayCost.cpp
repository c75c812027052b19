// Measures what one daemon spends on requests, tokens and open streams.
// Usage: bench-GatewayCost [ROUNDS]
// Prints one line a round and the least-squares fit of processor time over requests and tokens.
#include "support/EventLoop.h"
#include "support/Fleet.h"
#include "support/FleetStream.h"

#include <QElapsedTimer>
#include <QFile>

#include <cstdio>
#include <cstdlib>
#include <unistd.h>
#include <vector>

using namespace cranberry;
using namespace cranberry::test;

namespace {

struct Shape {
    int streams = 0;
    int maxTokens = 0;
};

struct Sample {
    double requests = 0;
    double tokens = 0;
    double processorMs = 0;
};

constexpr Shape Shapes[] = {{100, 1},  {200, 1},   {400, 1},  {100, 50},
                            {200, 50}, {100, 150}, {200, 150}};

/// Processor time of process @p id so far, both of its own and of the system for it.
double processorMs(qint64 id)
{
    QFile file(QStringLiteral("/proc/%1/stat").arg(id));
    if (!file.open(QIODevice::ReadOnly))
        return 0;
    // The name in parentheses may hold spaces; the fields are counted after it.
    const QByteArray text = file.readAll();
    const QList<QByteArray> fields = text.mid(text.lastIndexOf(')') + 2).split(' ');
    constexpr int UserTime = 11;
    constexpr int SystemTime = 12;
    const double ticks = fields[UserTime].toDouble() + fields[SystemTime].toDouble();
    return ticks * 1000 / double(sysconf(_SC_CLK_TCK));
}

double residentKilobytes(qint64 id)
{
    QFile file(QStringLiteral("/proc/%1/statm").arg(id));
    if (!file.open(QIODevice::ReadOnly))
        return 0;
    return file.readAll().split(' ')[1].toDouble() * double(sysconf(_SC_PAGESIZE)) / 1024;
}

Sample runRound(Fleet &fleet, const Shape &shape, int number)
{
    const qint64 daemon = fleet.daemon(0).id();
    const double memoryBefore = residentKilobytes(daemon);
    const double before = processorMs(daemon);
    std::vector<std::unique_ptr<FleetStream>> streams;
    streams.reserve(size_t(shape.streams));
    for (int i = 0; i < shape.streams; ++i)
        streams.push_back(fleet.complete(0, QStringLiteral("round %1 stream %2").arg(number).arg(i),
                                         shape.maxTokens, fleet.caller()));
    double mostMemory = memoryBefore;
    waitFor(
        [&] {
            mostMemory = std::max(mostMemory, residentKilobytes(daemon));
            for (const auto &stream : streams) {
                if (!stream->isOver())
                    return false;
            }
            return true;
        },
        std::chrono::seconds(120));
    Sample sample;
    sample.requests = shape.streams;
    int whole = 0;
    for (const auto &stream : streams) {
        sample.tokens += stream->tokenCount();
        whole += stream->isWhole();
    }
    sample.processorMs = processorMs(daemon) - before;
    std::printf(
        "streams=%d whole=%d tokens=%.0f processor_ms=%.0f resident_kb_before=%.0f most=%.0f\n",
        shape.streams, whole, sample.tokens, sample.processorMs, memoryBefore, mostMemory);
    std::fflush(stdout);
    return sample;
}

/// Least squares of processorMs = a * requests + b * tokens.
void printFit(const std::vector<Sample> &samples)
{
    double rr = 0;
    double rt = 0;
    double tt = 0;
    double rp = 0;
    double tp = 0;
    for (const Sample &s : samples) {
        rr += s.requests * s.requests;
        rt += s.requests * s.tokens;
        tt += s.tokens * s.tokens;
        rp += s.requests * s.processorMs;
        tp += s.tokens * s.processorMs;
    }
    const double determinant = rr * tt - rt * rt;
    const double request = (rp * tt - tp * rt) / determinant;
    const double token = (tp * rr - rp * rt) / determinant;
    std::printf("fit: processor_ms_per_request=%.3f processor_us_per_token=%.2f\n", request,
                token * 1000);
}

/// What a daemon without callers spends, per second.
void printIdle(Fleet &fleet)
{
    constexpr Milliseconds Span{5000};
    const qint64 daemon = fleet.daemon(0).id();
    const double before = processorMs(daemon);
    QElapsedTimer elapsed;
    elapsed.start();
    waitFor([&] { return elapsed.elapsed() >= Span.count(); });
    std::printf("idle: processor_ms_per_s=%.2f resident_kb=%.0f\n",
                (processorMs(daemon) - before) * 1000 / double(elapsed.elapsed()),
                residentKilobytes(daemon));
}

} // namespace

int main(int argc, char *argv[])
{
    const int rounds = argc > 1 ? std::atoi(argv[1]) : 2;
    ensureApplication();
    FleetPlan plan;
    plan.daemons = 1;
    plan.engines = 4;
    plan.engineFlags = {QStringLiteral("--capacity_tokens=200000"),
                        QStringLiteral("--max_batch=256"), QStringLiteral("--length_median=400")};
    plan.draftsService = {{QStringLiteral("queue_limit"), 4096}};
    plan.daemonSettings = {
        {QStringLiteral("log"), QJsonObject{{QStringLiteral("level"), QStringLiteral("info")}}}};
    Fleet fleet(plan);
    if (!fleet.start())
        return 1;
    printIdle(fleet);
    std::vector<Sample> samples;
    int number = 0;
    for (int round = 0; round < rounds; ++round) {
        for (const Shape &shape : Shapes)
            samples.push_back(runRound(fleet, shape, number++));
    }
    printFit(samples);
    return 0;
}
