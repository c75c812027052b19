#include "relay/EngineReports.h"

#include "base/EventLog.h"
#include "base/TimerService.h"
#include "base/TimerSubscription.h"
#include "relay/RelayCounters.h"
#include "relay/TargetCall.h"
#include "relay/TargetClient.h"
#include "relay/TargetDirectory.h"
#include "relay/TargetProtocol.h"

namespace cranberry {

namespace {

/// A report takes a round trip, under 5 ms in the region. A request waits for it at most this long,
/// about 3% of the time to its first event.
constexpr Milliseconds ReportTimeout{50};
constexpr int StatusOk = 200;

} // namespace

/// A request that waits for reports; called back once.
struct EngineReports::Waiter {
    int missing = 0;
    Done done;
};

struct EngineReports::Query {
    std::unique_ptr<HttpExchange> exchange;
    QList<std::shared_ptr<Waiter>> waiters;
};

EngineReports::EngineReports(TimerService &timers, TargetClient &client, TargetDirectory &targets,
                             const TargetProtocol &protocol, RelayCounters &counters)
    : m_timers(timers)
    , m_client(client)
    , m_targets(targets)
    , m_protocol(protocol)
    , m_counters(counters)
{
}

EngineReports::~EngineReports() = default;

bool EngineReports::isFresh(const TargetId &target, Milliseconds maxAge) const
{
    const TargetRecord *record = m_targets.find(target);
    return !record || (record->report && m_timers.now() - record->reportedAt <= maxAge);
}

void EngineReports::refresh(const QList<TargetId> &targets, Milliseconds maxAge, Done done)
{
    const auto waiter = std::make_shared<Waiter>();
    for (const TargetId &target : targets) {
        if (isFresh(target, maxAge))
            continue;
        if (!m_queries.contains(target) && !sendQuery(target))
            continue;
        m_queries[target]->waiters.append(waiter);
        ++waiter->missing;
    }
    if (waiter->missing == 0)
        done();
    else
        waiter->done = std::move(done);
}

bool EngineReports::sendQuery(const TargetId &target)
{
    const auto query = std::make_shared<Query>();
    HttpExchangeOptions options;
    options.connectTimeout = ReportTimeout;
    options.timeout = ReportTimeout;
    options.reuseConnection = true;
    query->exchange = m_client.fetch(
        {target, m_targets.find(target)->entry.endpoint, CallPurpose::Report}, m_protocol.report(),
        options, [this, target](HttpExchangeEnd end, const HttpResponse &response) {
            const bool isWhole = end == HttpExchangeEnd::Complete && response.status == StatusOk;
            const Result<EngineReport> report =
                isWhole ? m_protocol.readReport(response) : Result<EngineReport>(Error());
            if (report)
                m_targets.recordReport(target, report.value());
            else
                logEvent(LogLevel::Debug, EventId::ReportMissing,
                         {{"target", target.text()}, {"status", QString::number(response.status)}});
            finishQuery(target);
        });
    if (!query->exchange)
        return false;
    ++m_counters.reportsAsked;
    m_queries.insert(target, query);
    return true;
}

void EngineReports::finishQuery(const TargetId &target)
{
    const std::shared_ptr<Query> query = m_queries.take(target);
    if (!query)
        return;
    for (const std::shared_ptr<Waiter> &waiter : std::as_const(query->waiters)) {
        if (--waiter->missing == 0)
            waiter->done();
    }
}

} // namespace cranberry
