#include "support/SuspectFleet.h"

#include "base/EventLog.h"

#include <algorithm>
#include <utility>

namespace cranberry::test {

namespace {

constexpr int Targets = 6;
constexpr int Pairs = 40;
constexpr Milliseconds Step{100};
constexpr Milliseconds AnswersAfter{1000};
constexpr Milliseconds Longest{20000};

const WorkspaceId Workspace(QStringLiteral("w"));

TargetId target(int i)
{
    return TargetId(QStringLiteral("t%1").arg(i));
}

RequestFingerprint fingerprint(const char *kind, int number)
{
    return requestFingerprint(Workspace, kind, QByteArray::number(number));
}

} // namespace

SuspectFleet::SuspectFleet(int pair, Milliseconds delay, Milliseconds crashesAfter)
    : m_crashesAfter(crashesAfter)
{
    for (std::size_t i = 0; i < m_daemons.size(); ++i) {
        Daemon &daemon = m_daemons[i];
        daemon.isCrashing = i == 0;
        daemon.request = fingerprint(daemon.isCrashing ? "crashing" : "ordinary", pair);
        Daemon &other = m_daemons[1 - i];
        daemon.table.onNews([this, delay, &other](const QCborMap &news) {
            other.incoming.push_back({news, m_now + delay});
        });
        start(daemon, target(0));
    }
}

bool SuspectFleet::run()
{
    const auto isOver = [](const Daemon &daemon) { return daemon.isOver; };
    for (Milliseconds passed{0}; passed < Longest; passed += Step) {
        if (std::all_of(m_daemons.begin(), m_daemons.end(), isOver))
            return true;
        step();
    }
    return false;
}

bool SuspectFleet::isHeldBack(Daemon &daemon)
{
    return daemon.table.verdict(daemon.request, m_now) == QuarantineVerdict::Quarantined;
}

void SuspectFleet::start(Daemon &daemon, const TargetId &at)
{
    daemon.runsAt = at;
    daemon.since = m_now;
    daemon.table.attemptStarted(daemon.request, Workspace, at, m_now);
}

void SuspectFleet::step()
{
    m_now += Step;
    for (Daemon &daemon : m_daemons)
        receive(daemon);
    const Daemon &crashing = m_daemons[0];
    if (crashing.runsAt && m_now - crashing.since >= m_crashesAfter)
        crash(TargetId(*crashing.runsAt));
    for (Daemon &daemon : m_daemons)
        advance(daemon);
}

void SuspectFleet::receive(Daemon &daemon) const
{
    for (const News &news : std::exchange(daemon.incoming, {})) {
        if (news.arrives <= m_now)
            daemon.table.handleNews(news.body, m_now);
        else
            daemon.incoming.push_back(news);
    }
}

void SuspectFleet::crash(const TargetId &at)
{
    m_crashed.insert(at);
    for (Daemon &daemon : m_daemons) {
        if (daemon.runsAt != at)
            continue;
        daemon.table.targetDied(at, TargetDeathCause::Crash, m_now);
        daemon.runsAt.reset();
    }
}

void SuspectFleet::advance(Daemon &daemon)
{
    if (daemon.isOver)
        return;
    if (daemon.runsAt) {
        if (daemon.isCrashing || m_now - daemon.since < AnswersAfter)
            return;
        daemon.table.attemptFinished(daemon.request, *daemon.runsAt, true);
        daemon.isOver = true;
        return;
    }
    daemon.isOver = isHeldBack(daemon);
    if (daemon.isOver)
        return;
    QList<ProbationCandidate> candidates;
    for (int i = 0; i < Targets; ++i) {
        if (m_crashed.count(target(i)) == 0)
            candidates.append({target(i), 0});
    }
    if (const auto chosen = daemon.table.probationTarget(daemon.request, candidates))
        start(daemon, *chosen);
}

SuspectResults runSuspectPairs(Milliseconds delay, Milliseconds crashesAfter)
{
    // Each blame is a line.
    setLogLevel(LogLevel::Error);
    SuspectResults results;
    for (int pair = 0; pair < Pairs; ++pair) {
        SuspectFleet fleet(pair, delay, crashesAfter);
        results.unfinished += fleet.run() ? 0 : 1;
        results.mostCrashes = std::max(results.mostCrashes, fleet.crashes());
        results.ordinaryHeldBack += fleet.isOrdinaryHeldBack() ? 1 : 0;
    }
    return results;
}

} // namespace cranberry::test
