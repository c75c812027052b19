// What one placement decision costs as targets grow, and what one workspace keeps in memory.
#include "admission/CreditMessages.h"
#include "admission/ServiceShares.h"
#include "admission/WorkspaceLimiter.h"
#include "base/EventLog.h"
#include "placement/LengthModel.h"
#include "placement/TargetTable.h"

#include <QCborValue>
#include <QUuid>

#include <cstdio>
#include <ctime>
#include <malloc.h>

namespace cranberry::bench {
namespace {

const ServiceId Service(QStringLiteral("s"));
const ModelId Model(QStringLiteral("m"));
const MonotonicTime Start{std::chrono::hours(1)};
constexpr qint64 Capacity = 100'000'000;
constexpr qint64 PromptTokens = 300;
constexpr int RequestsATarget = 20;
constexpr int Workspaces = 5500;
constexpr int Models = 4;

Configuration configurationOf(int targets)
{
    Configuration configuration;
    configuration.services.insert(Service, {});
    for (int i = 0; i < targets; ++i) {
        configuration.targets.insert(TargetId(QStringLiteral("target-%1").arg(i)),
                                     {Service, {}, {}, {Model}});
    }
    return configuration;
}

PlacementRequest request(int workspace)
{
    PlacementRequest made;
    made.service = Service;
    made.model = Model;
    made.workspace = WorkspaceId(QStringLiteral("workspace-%1").arg(workspace));
    made.promptTokens = Tokens(PromptTokens);
    made.maxTokens = Tokens(4096);
    made.prefixHash = quint64(workspace) + 1;
    return made;
}

void reportAll(TargetTable &table, int targets)
{
    LoadReport report;
    report.incarnation = Incarnation(1);
    report.capacityTokens = Tokens(Capacity);
    report.running = RequestsATarget;
    report.residentTokens = Tokens(RequestsATarget * PromptTokens);
    for (int i = 0; i < targets; ++i)
        table.reportReceived(TargetId(QStringLiteral("target-%1").arg(i)), report, Start);
}

void measureDecisions(int targets)
{
    constexpr int Work = 2'000'000;
    const int decisions = std::max(200, Work / targets / 10);
    TargetTable table;
    table.setConfiguration(configurationOf(targets));
    reportAll(table, targets);
    const ServiceConfiguration service;
    // Processor time, since the machine may be busy with other work.
    const std::clock_t began = std::clock();
    for (int i = 0; i < decisions; ++i) {
        const AttemptId attempt(QString::number(i));
        table.decide(attempt, request(i % Workspaces), service, Start, quint64(i));
        table.attemptEnded(attempt, AttemptEnd::Incomplete, Start);
    }
    const double nanoseconds = double(std::clock() - began) / CLOCKS_PER_SEC * 1e9 / decisions;
    std::printf("decision: targets=%d ns=%.0f ns_per_target=%.1f\n", targets, nanoseconds,
                nanoseconds / targets);
}

int wireBytes(const QCborMap &body)
{
    return int(body.toCborValue().toCbor().size());
}

void measureMessages()
{
    CreditRequest ask;
    ask.exchangeId = 1'000'000;
    ask.request.placement = request(1);
    ask.request.placement.request = RequestId(QUuid::createUuid().toString(QUuid::WithoutBraces));
    ask.timeLeft = Milliseconds(60'000);
    CreditRequest done = ask;
    done.kind = CreditRequestKind::Done;
    CreditAnswer answer;
    answer.exchangeId = ask.exchangeId;
    answer.outcome = CreditOutcome::Granted;
    answer.target = TargetId(QStringLiteral("target-1"));
    std::printf("messages: ask_bytes=%d answer_bytes=%d done_bytes=%d\n", wireBytes(toCbor(ask)),
                wireBytes(toCbor(answer)), wireBytes(toCbor(done)));
}

double heapBytes()
{
    return double(mallinfo2().uordblks);
}

void measureMemory()
{
    const double before = heapBytes();
    LengthModel lengths;
    for (int w = 0; w < Workspaces; ++w) {
        const WorkspaceId workspace(QStringLiteral("workspace-%1").arg(w));
        for (int m = 0; m < Models; ++m)
            lengths.addCompleted({Service, ModelId(QStringLiteral("model-%1").arg(m)), workspace},
                                 Tokens(100 + w));
    }
    const double withLengths = heapBytes();
    ServiceShares shares;
    for (int w = 0; w < Workspaces; ++w)
        charge(shares, WorkspaceId(QStringLiteral("workspace-%1").arg(w)), Tokens(1), 1.0);
    const double withShares = heapBytes();
    WorkspaceLimiter limiter;
    for (int w = 0; w < Workspaces; ++w) {
        const RequestId id(QString::number(w));
        acquireSlot(limiter, id, WorkspaceId(QStringLiteral("workspace-%1").arg(w)), {1, 1.0},
                    Start);
        releaseSlot(limiter, id);
    }
    const double withLimits = heapBytes();
    std::printf("memory: workspaces=%d models=%d length_groups=%d length_bytes_per_workspace=%.0f "
                "shares_bytes_per_workspace=%.0f limits_bytes_per_workspace=%.0f total_mb=%.2f\n",
                Workspaces, Models, lengths.groupCount(), (withLengths - before) / Workspaces,
                (withShares - withLengths) / Workspaces, (withLimits - withShares) / Workspaces,
                (withLimits - before) / 1e6);
}

} // namespace
} // namespace cranberry::bench

int main()
{
    using namespace cranberry::bench;
    for (const int targets : {26, 260, 5000})
        measureDecisions(targets);
    measureMemory();
    measureMessages();
    return 0;
}
