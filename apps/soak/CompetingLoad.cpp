#include "soak/CompetingLoad.h"

#include "standins/users/RetryChecks.h"

#include <algorithm>

namespace cranberry::soak {

namespace {

constexpr double Speeds[] = {0.5, 1, 2};
constexpr standin::BusyTargetPlan Plan{2, 4, Milliseconds(200), 0, Milliseconds(0)};
/// There is room for all in quiet phases, and for half in the others. A run of 8 s has two of each.
constexpr Milliseconds QuietTime{1500};
constexpr Milliseconds CompetingTime{3000};
constexpr double QuietPart = 0.4;

struct CallerGroup {
    const char *name = "";
    const char *path = "";
    const char *key = "";
    /// Demand relative to what the targets can serve while callers compete.
    double demand = 0;
    bool isProtected = true;
};

constexpr CallerGroup Groups[] = {{"the urgent route", "/urgent/a", "key", 0.3},
                                  {"the large workspace", "/usual/a", "key-large", 1.3, false},
                                  {"workspace small0", "/usual/a", "key-small0", 0.15},
                                  {"workspace small1", "/usual/a", "key-small1", 0.15},
                                  {"workspace small2", "/usual/a", "key-small2", 0.15}};

/// Each of the small workspaces and the urgent route is answered at least this much as often as
/// all.
constexpr double LeastRelativeShare = 0.25;
/// With fewer callers the share of a group is chance.
constexpr int MinCallers = 20;
/// The time that a plain request may wait: 0.6 of the objective of PlatformSite's routes (2 s).
constexpr Milliseconds WaitLimit{1200};
/// The daemons share the processor with the run and other tests.
constexpr Milliseconds Tolerance{600};
/// A daemon that was signalled, or has just started, catches up within this time.
constexpr Milliseconds DisturbedTime{2000};

} // namespace

CompetingLoad::CompetingLoad(test::PlatformSite &site, quint32 seed, int daemons)
    : m_site(site)
    , m_random(seed)
    , m_targets(site, "busy", Plan)
    , m_prefix("b" + QByteArray::number(seed) + '-')
    , m_disturbedAt(std::size_t(daemons))
{
    for (const double speed : Speeds)
        m_targets.add(speed);
    m_targets.onServed(
        [this](const HttpRequest &request) { ++m_outcomes[standin::requestIdOf(request)].runs; });
    // The first phase is quiet: daemons learn the speeds and are not all listed yet.
    m_begin = m_timers.now();
    for (std::size_t group = 0; group < std::size(Groups); ++group)
        m_next.push_back(m_begin + gap(group));
}

std::chrono::microseconds CompetingLoad::gap(std::size_t group)
{
    const double part = isCompeting() ? 1 : QuietPart;
    std::exponential_distribution<double> seconds(part * Groups[group].demand
                                                  * m_targets.capacity());
    return std::chrono::microseconds(qint64(seconds(m_random) * 1e6));
}

bool CompetingLoad::isCompeting() const
{
    return (m_timers.now() - m_begin) % (QuietTime + CompetingTime) >= QuietTime;
}

void CompetingLoad::step(const std::vector<bool> &paused)
{
    for (std::size_t group = 0; group < m_next.size(); ++group) {
        for (; m_next[group] <= m_timers.now(); m_next[group] += gap(group))
            send(group);
    }
    for (auto call = m_calls.begin(); call != m_calls.end();) {
        if (!call->call->isOver) {
            ++call;
            continue;
        }
        evaluate(*call, paused[std::size_t(call->daemon)]);
        call = m_calls.erase(call);
    }
}

void CompetingLoad::send(std::size_t group)
{
    const int daemon = int(m_random() % m_disturbedAt.size());
    if (m_site.hasEnded(daemon))
        return;
    const QByteArray id = m_prefix + QByteArray::number(++m_count);
    m_outcomes[id].group = group;
    m_calls.push_back({id, group, daemon, m_timers.now(),
                       m_site.sendWithKey(daemon, Groups[group].path, id, "body of " + id,
                                          Groups[group].key, {})});
}

void CompetingLoad::evaluate(const Call &call, bool isPaused)
{
    const MonotonicTime now = m_timers.now();
    Outcome &outcome = m_outcomes[call.id];
    outcome.status = call.call->response.status;
    const auto time = std::chrono::duration_cast<Milliseconds>(now - call.sentAt);
    const bool isDisturbed =
        isPaused || m_disturbedAt[std::size_t(call.daemon)] + DisturbedTime >= call.sentAt;
    if (outcome.status == 503 && !isDisturbed && time > WaitLimit + Tolerance)
        m_late.append(QStringLiteral("request %1 of %2 was rejected after %3 ms, allowed are %4")
                          .arg(QString::fromLatin1(call.id), QLatin1String(Groups[call.group].name))
                          .arg(time.count())
                          .arg((WaitLimit + Tolerance).count()));
}

int CompetingLoad::answered() const
{
    return int(std::count_if(m_outcomes.begin(), m_outcomes.end(),
                             [](const Outcome &outcome) { return outcome.status == 200; }));
}

int CompetingLoad::rejected() const
{
    return int(std::count_if(m_outcomes.begin(), m_outcomes.end(),
                             [](const Outcome &outcome) { return outcome.status == 503; }));
}

QStringList CompetingLoad::broken() const
{
    QStringList broken = m_late;
    int callersOf[std::size(Groups)] = {};
    int answeredOf[std::size(Groups)] = {};
    for (auto entry = m_outcomes.begin(); entry != m_outcomes.end(); ++entry) {
        const Outcome &outcome = entry.value();
        ++callersOf[outcome.group];
        answeredOf[outcome.group] += outcome.status == 200 ? 1 : 0;
        if (outcome.runs > 1 || (outcome.status == 503 && outcome.runs > 0))
            broken.append(QStringLiteral("request %1 of %2, answered with %3, ran %4 times")
                              .arg(QString::fromLatin1(entry.key()),
                                   QLatin1String(Groups[outcome.group].name))
                              .arg(outcome.status)
                              .arg(outcome.runs));
    }
    const double all = double(answered()) / std::max(callers(), 1);
    for (std::size_t group = 0; group < std::size(Groups); ++group) {
        const double share = double(answeredOf[group]) / std::max(callersOf[group], 1);
        if (Groups[group].isProtected && callersOf[group] >= MinCallers
            && share < LeastRelativeShare * all)
            broken.append(QStringLiteral("%1 is starved: %2 of %3 answered, %4 of %5 of all")
                              .arg(QLatin1String(Groups[group].name))
                              .arg(answeredOf[group])
                              .arg(callersOf[group])
                              .arg(answered())
                              .arg(callers()));
    }
    return broken;
}

} // namespace cranberry::soak
