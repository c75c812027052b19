// Tests what callers get that compete for too little room, with real daemons.
#define BOOST_TEST_MODULE CompetingCallers
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "standins/users/BusyTargets.h"
#include "support/EventLoop.h"
#include "support/PlatformSite.h"

#include <QFile>
#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

#include <algorithm>
#include <csignal>
#include <ostream>
#include <random>
#include <vector>

using namespace cranberry;
using standin::BusyTargetPlan;
using standin::BusyTargets;
namespace data = boost::unit_test::data;

namespace {

constexpr Milliseconds Objective{1500};
constexpr Milliseconds CallerTime{6000};
/// Callers that arrive before the daemons know the load are not counted.
constexpr Milliseconds WarmUp{1500};
constexpr Milliseconds Duration{6000};
constexpr int ImmediateRetries = 3;
/// The share of the callers that reach the first two daemons.
constexpr double UnevenShare = 0.4;

/// Callers of one kind.
struct CallerGroup {
    const char *name = "";
    /// Demand relative to what the targets can serve.
    double demand = 0;
    int priority = 1;
    QByteArray workspace = "house";
    int workspaces = 1;
    /// Rejected callers retry at once, up to three times, instead of once when they are told.
    bool isImpatient = false;
    bool retries = false;
};

struct GroupOutcome {
    int callers = 0;
    int onTime = 0;
    std::vector<Milliseconds> rejectionTimes;
    double onTimeShare() const { return callers == 0 ? 0 : double(onTime) / callers; }
};

quint32 testSeed()
{
    bool isNumber = false;
    const quint32 given = qEnvironmentVariable("CRANBERRY_TEST_SEED").toUInt(&isNumber);
    return isNumber ? given : 1;
}

std::optional<Milliseconds> retryAfterOf(const HttpResponse &response)
{
    bool isNumber = false;
    const double seconds = response.headers.value("Retry-After").toDouble(&isNumber);
    return isNumber ? std::optional<Milliseconds>(qint64(seconds * 1000)) : std::nullopt;
}

Milliseconds medianOf(std::vector<Milliseconds> times)
{
    if (times.empty())
        return Milliseconds(0);
    std::sort(times.begin(), times.end());
    return times[times.size() / 2];
}

/// Daemons, targets, and groups of callers that arrive at random.
class CompetingSite
{
public:
    CompetingSite(bool isStream, int daemons, const std::vector<double> &speeds,
                  std::vector<CallerGroup> groups)
        : m_isStream(isStream)
        , m_random(testSeed())
        , m_groups(std::move(groups))
        , m_outcomes(m_groups.size())
        , m_targets(m_site, isStream ? "model" : "plain", BusyTargetPlan())
    {
        configure();
        m_site.setFirstStart();
        for (const double speed : speeds)
            m_targets.add(speed);
        for (int i = 0; i < daemons; ++i)
            m_site.startDaemon();
        m_daemons = daemons;
        for (std::size_t group = 0; group < m_groups.size(); ++group)
            m_next.push_back(m_timers.now() + gap(group));
    }

    ~CompetingSite()
    {
        const QString folder = qEnvironmentVariable("CRANBERRY_TEST_LOGS");
        for (int daemon = 0; daemon < m_daemons && !folder.isEmpty(); ++daemon) {
            QFile file(QStringLiteral("%1/competing-%2.log").arg(folder).arg(daemon));
            if (file.open(QIODevice::WriteOnly))
                file.write(m_site.log(daemon));
        }
    }
    CompetingSite(const CompetingSite &) = delete;
    CompetingSite &operator=(const CompetingSite &) = delete;

    test::PlatformSite &site() { return m_site; }
    BusyTargets &targets() { return m_targets; }
    MonotonicTime now() const { return m_timers.now(); }
    const GroupOutcome &outcome(std::size_t group) const { return m_outcomes[group]; }

    void run(
        Milliseconds duration, const std::function<void()> &step = [] {})
    {
        const MonotonicTime end = m_timers.now() + duration;
        test::waitFor(
            [&] {
                sendDue();
                step();
                collect();
                return m_timers.now() >= end;
            },
            duration + std::chrono::seconds(30));
    }

    /// Callers that arrive from now on are counted.
    void beginCounting()
    {
        m_isCounting = true;
        m_servedBefore = m_targets.served();
    }
    /// Work done since beginCounting(), relative to what the targets can do in @p duration.
    double workDone(Milliseconds duration) const
    {
        const double seconds = std::chrono::duration<double>(duration).count();
        return (m_targets.served() - m_servedBefore) / (m_targets.capacity() * seconds);
    }
    void finish()
    {
        m_next.assign(m_next.size(), MonotonicTime::max());
        test::waitFor([&] {
            sendDue();
            collect();
            return m_calls.empty() && m_returns.empty();
        });
    }

private:
    struct Caller {
        std::size_t group = 0;
        int number = 0;
        MonotonicTime arrived;
        int tries = 0;
        bool isCounted = false;
    };
    struct Call {
        Caller caller;
        MonotonicTime sentAt;
        std::shared_ptr<test::ClientCall> call;
        /// When the head of the answer was there, which comes with the first event of a stream.
        MonotonicTime answeredAt = MonotonicTime::max();
    };
    struct Return {
        Caller caller;
        MonotonicTime at;
    };

    void configure()
    {
        QJsonArray routes;
        QJsonArray tenants{QJsonObject{{"name", "house"}, {"apiKeys", QJsonArray{"key"}}}};
        for (const CallerGroup &group : m_groups) {
            routes.append(QJsonObject{{"name", group.name},
                                      {"host", "site.example"},
                                      {"prefix", QStringLiteral("/%1/").arg(group.name)},
                                      {"kind", m_isStream ? "streaming" : "unsafe"},
                                      {"timeoutMs", 20000},
                                      {"aimMs", int(Objective.count())},
                                      {"priority", group.priority},
                                      {"service", m_isStream ? "model" : "plain"},
                                      {"maxAttempts", 1},
                                      {"anonymous", false},
                                      {"gapTargetMs", 500}});
            for (int i = 0; i < group.workspaces; ++i) {
                const QString name =
                    QString::fromLatin1(group.workspace) + (i == 0 ? "" : QString::number(i));
                tenants.append(QJsonObject{{"name", name}, {"apiKeys", QJsonArray{"key-" + name}}});
            }
        }
        const QJsonObject engine{{"slots", BusyTargetPlan().slotCount},
                                 {"kvCapacityTokens", 100000},
                                 {"moves", true},
                                 {"backups", false},
                                 {"holdMs", 2000},
                                 {"stride", 1}};
        const QJsonObject json{{"version", 1},
                               {"routes", routes},
                               {"services",
                                QJsonArray{QJsonObject{{"name", "model"}, {"engine", engine}},
                                           QJsonObject{{"name", "plain"}}}},
                               {"limits",
                                QJsonObject{{"maxHeaderBytes", 4096},
                                            {"maxBodyBytes", 10000},
                                            {"headerTimeoutMs", 1000},
                                            {"idleTimeoutMs", 10000}}},
                               {"tenants", tenants}};
        m_site.store().put(QStringLiteral("op/config"), QJsonDocument(json).toJson());
    }

    std::chrono::microseconds gap(std::size_t group)
    {
        std::exponential_distribution<double> seconds(m_groups[group].demand
                                                      * m_targets.capacity());
        return std::chrono::microseconds(qint64(seconds(m_random) * 1e6));
    }

    void sendDue()
    {
        for (std::size_t group = 0; group < m_groups.size(); ++group) {
            for (; m_next[group] <= m_timers.now(); m_next[group] += gap(group))
                send({group, ++m_count, m_timers.now(), 0, m_isCounting});
        }
        for (auto due = m_returns.begin(); due != m_returns.end();) {
            if (due->at > m_timers.now()) {
                ++due;
                continue;
            }
            send(due->caller);
            due = m_returns.erase(due);
        }
    }

    int randomDaemon()
    {
        std::uniform_real_distribution<double> share(0, 1);
        const int uneven = std::min(2, m_daemons - 1);
        int daemon = 0;
        do {
            daemon = share(m_random) < UnevenShare
                ? int(m_random() % quint32(uneven))
                : uneven + int(m_random() % quint32(m_daemons - uneven));
        } while (m_site.hasEnded(daemon));
        return daemon;
    }

    void send(Caller caller)
    {
        const CallerGroup &group = m_groups[caller.group];
        const QByteArray number = QByteArray::number(caller.number);
        const QByteArray id = "c" + number + '-' + QByteArray::number(++caller.tries);
        HttpHeaders headers = m_isStream ? test::PlatformSite::generation(100, 100) : HttpHeaders();
        const auto left =
            std::chrono::duration_cast<Milliseconds>(caller.arrived + CallerTime - m_timers.now());
        headers.add("Cranberryquay-Deadline-Ms", QByteArray::number(qint64(left.count())));
        const int workspace = caller.number % group.workspaces;
        const QByteArray key =
            "key-" + group.workspace + (workspace == 0 ? "" : QByteArray::number(workspace));
        m_calls.push_back({caller, m_timers.now(),
                           m_site.sendWithKey(randomDaemon(), '/' + QByteArray(group.name) + "/a",
                                              id, "body of " + number, key, headers)});
    }

    void collect()
    {
        for (auto call = m_calls.begin(); call != m_calls.end();) {
            if (call->call->response.status != 0)
                call->answeredAt = std::min(call->answeredAt, m_timers.now());
            if (!call->call->isOver) {
                ++call;
                continue;
            }
            const Call ended = std::move(*call);
            call = m_calls.erase(call);
            evaluate(ended);
            // Retries were appended, which invalidates the iterator.
            call = m_calls.begin();
        }
    }

    void evaluate(const Call &ended)
    {
        const MonotonicTime now = m_timers.now();
        const HttpResponse &response = ended.call->response;
        GroupOutcome &outcome = m_outcomes[ended.caller.group];
        const bool isRejected = response.status == 503;
        if (isRejected && ended.caller.isCounted)
            outcome.rejectionTimes.push_back(
                std::chrono::duration_cast<Milliseconds>(now - ended.sentAt));
        if (isRejected && wantsRetry(ended, response))
            return;
        if (!ended.caller.isCounted)
            return;
        ++outcome.callers;
        const bool isWhole = ended.call->end == HttpExchangeEnd::Complete;
        const bool isOnTime = response.status == 200 && isWhole
            && ended.answeredAt - ended.caller.arrived <= Objective;
        outcome.onTime += isOnTime ? 1 : 0;
    }

    bool wantsRetry(const Call &ended, const HttpResponse &response)
    {
        const CallerGroup &group = m_groups[ended.caller.group];
        const MonotonicTime now = m_timers.now();
        if (group.isImpatient) {
            if (ended.caller.tries > ImmediateRetries)
                return false;
            send(ended.caller);
            return true;
        }
        const std::optional<Milliseconds> after = retryAfterOf(response);
        const auto left = ended.caller.arrived + CallerTime - now;
        if (!group.retries || ended.caller.tries > 1 || !after || *after > left / 3)
            return false;
        m_returns.push_back({ended.caller, now + *after});
        return true;
    }

    const bool m_isStream;
    std::mt19937 m_random;
    const std::vector<CallerGroup> m_groups;
    std::vector<GroupOutcome> m_outcomes;
    test::PlatformSite m_site;
    QtTimerService m_timers;
    BusyTargets m_targets;
    int m_daemons = 0;
    int m_count = 0;
    int m_servedBefore = 0;
    bool m_isCounting = false;
    std::vector<MonotonicTime> m_next;
    std::vector<Call> m_calls;
    std::vector<Return> m_returns;
};

const std::vector<double> EqualSpeeds(6, 1.0);

struct CompetingShape {
    const char *name = "";
    bool isStream = false;
    int daemons = 12;
};

std::ostream &operator<<(std::ostream &out, const CompetingShape &shape)
{
    return out << shape.name;
}

const std::vector<CompetingShape> Shapes{{"plain", false}, {"streams", true}};

void report(const CompetingShape &shape, const CompetingSite &site,
            const std::vector<CallerGroup> &groups, double workDone)
{
    for (std::size_t group = 0; group < groups.size(); ++group) {
        const GroupOutcome &outcome = site.outcome(group);
        BOOST_TEST_MESSAGE(shape << ", " << groups[group].name << ": " << outcome.callers
                                 << " callers, on time " << outcome.onTimeShare() << ", "
                                 << outcome.rejectionTimes.size() << " rejections, held "
                                 << medianOf(outcome.rejectionTimes).count()
                                 << " ms in the median");
    }
    BOOST_TEST_MESSAGE("work done " << workDone);
}

} // namespace

BOOST_DATA_TEST_CASE(UrgentRequestsGoFirst, data::make(Shapes))
{
    // Guards against an overload in which urgent requests get no more than others.
    const std::vector<CallerGroup> groups{{"urgent", 0.6, 0}, {"other", 0.9, 2}};
    CompetingSite site(sample.isStream, sample.daemons, EqualSpeeds, groups);
    site.run(WarmUp);
    site.beginCounting();
    site.run(Duration);
    const double workDone = site.workDone(Duration);
    site.finish();
    report(sample, site, groups, workDone);
    BOOST_TEST(site.outcome(0).onTimeShare() >= 0.95);
    BOOST_TEST(workDone >= 0.9);
    BOOST_TEST(medianOf(site.outcome(1).rejectionTimes).count() < 200);
}

BOOST_DATA_TEST_CASE(SmallWorkspacesAreNotPushedOut, data::make(Shapes))
{
    // Guards against a workspace whose demand takes the room of all others.
    const std::vector<CallerGroup> groups{{"large", 1.1, 1, "large"},
                                          {"small", 0.4, 1, "small", 5}};
    CompetingSite site(sample.isStream, sample.daemons, EqualSpeeds, groups);
    site.run(WarmUp);
    site.beginCounting();
    site.run(Duration);
    const double workDone = site.workDone(Duration);
    site.finish();
    report(sample, site, groups, workDone);
    BOOST_TEST(site.outcome(1).onTimeShare() >= 0.9);
    BOOST_TEST(workDone >= 0.9);
}

BOOST_DATA_TEST_CASE(CallersThatRetryAtOnceGainNothing, data::make(Shapes))
{
    // Guards against callers that ignore Retry-After and are served more often than those who wait.
    const std::vector<CallerGroup> groups{{"patient", 1.12, 1, "house", 1, false, true},
                                          {"impatient", 0.28, 1, "house", 1, true, true}};
    CompetingSite site(sample.isStream, sample.daemons, EqualSpeeds, groups);
    site.run(WarmUp);
    // Few callers are impatient: with half the time chance decides.
    site.beginCounting();
    site.run(2 * Duration);
    const double workDone = site.workDone(2 * Duration);
    site.finish();
    report(sample, site, groups, workDone);
    BOOST_TEST(site.outcome(0).onTimeShare() >= site.outcome(1).onTimeShare());
    BOOST_TEST(workDone >= 0.9);
}

BOOST_DATA_TEST_CASE(UnevenTargetsAreUsedByTheirSpeed, data::make(Shapes))
{
    // Guards against slow targets that get as many requests as fast ones.
    const std::vector<CallerGroup> groups{{"all", sample.isStream ? 0.75 : 0.9}};
    CompetingSite site(sample.isStream, sample.daemons, {0.5, 0.5, 1, 1, 2, 2}, groups);
    site.run(WarmUp);
    site.beginCounting();
    site.run(Duration);
    const double workDone = site.workDone(Duration);
    site.finish();
    report(sample, site, groups, workDone);
    BOOST_TEST(site.outcome(0).onTimeShare() >= 0.94);
}

BOOST_DATA_TEST_CASE(UrgentRequestsGoFirstWhileDaemonsDie, data::make(Shapes))
{
    // Guards against reports of daemons that are gone, and wait for nothing any longer, but keep
    // room from others.
    const std::vector<CallerGroup> groups{{"urgent", 0.6, 0}, {"other", 0.9, 2}};
    CompetingSite site(sample.isStream, sample.daemons, EqualSpeeds, groups);
    site.run(WarmUp);
    for (int daemon = 0; daemon < 4; ++daemon)
        site.site().signal(2 * daemon + 1, daemon % 2 == 0 ? SIGKILL : SIGTERM);
    test::waitFor([&] { return site.site().hasEnded(1) && site.site().hasEnded(5); });
    site.beginCounting();
    site.run(Duration);
    const double workDone = site.workDone(Duration);
    site.finish();
    report(sample, site, groups, workDone);
    BOOST_TEST(workDone >= 0.9);
    BOOST_TEST(site.outcome(0).onTimeShare() >= 0.9);
}
