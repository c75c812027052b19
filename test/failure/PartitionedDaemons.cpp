// Tests that daemons which are partitioned from all targets serve their callers as the others do.
#define BOOST_TEST_MODULE PartitionedDaemons
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "standins/users/PartitionProxy.h"
#include "standins/users/PromiseChecks.h"
#include "support/ConnectionOwner.h"
#include "support/EventLoop.h"
#include "support/PlatformSite.h"

#include <map>
#include <string>
#include <vector>

using namespace cranberry;
using standin::PartitionForm;
using standin::PartitionProxy;
using Runner = standin::RunnerEmulator;
namespace data = boost::unit_test::data;

namespace {

constexpr int DaemonCount = 6;
constexpr int TargetCount = 4;
constexpr int EngineCount = 3;
constexpr int EventsPerStream = 5;
constexpr Milliseconds RequestInterval{20};
/// Answers count from this time after the partition began.
constexpr Milliseconds StableTime{3000};
constexpr Milliseconds CountedTime{2500};
constexpr Milliseconds HealTime{500};
/// Time after which callers give up.
const HttpHeaders CallerDeadline{{"Cranberryquay-Deadline-Ms", "4000"}};
/// Targets close one connection in this many after an answer, so that new ones are opened.
constexpr int AnswersPerConnection = 3;
/// The first tries at partitioned daemons are served at least this often, relative to the others...
constexpr double MinServedRatio = 2.0 / 3;
/// ...or this many and this share of all fail there.
constexpr int AllowedFailures = 10;
constexpr double AllowedFailureShare = 1.0 / 50;

HttpHeaders generation()
{
    HttpHeaders headers = test::PlatformSite::generation();
    for (const HttpHeaders::Field &field : CallerDeadline.fields())
        headers.add(field.first, field.second);
    return headers;
}

struct ServedCount {
    int sent = 0;
    int served = 0;
    /// Answers by status; 0 for none.
    std::map<int, int> statuses;
};

std::string textOf(const ServedCount &count)
{
    std::string text = std::to_string(count.served) + " of " + std::to_string(count.sent) + " (";
    for (const auto &[status, answers] : count.statuses)
        text += std::to_string(answers) + " x " + std::to_string(status) + ' ';
    return text + ')';
}

/// Daemons, and targets behind proxies that partition them.
class PartitionSite
{
public:
    PartitionSite()
    {
        m_checks.expectStreams(test::PlatformSite::events(EventsPerStream));
        m_site.configure(1);
        for (int i = 0; i < TargetCount; ++i)
            addTarget("plain-" + QByteArray::number(i), "plain");
        for (int i = 0; i < EngineCount; ++i)
            addTarget("engine-" + QByteArray::number(i), "model");
        for (int i = 0; i < DaemonCount; ++i)
            m_site.startDaemon(std::chrono::seconds(30), standin::StoreEmulator::Door::First,
                               i % 2 == 0 ? QStringLiteral("hall") : QStringLiteral("quay"));
        test::waitFor([&] { return knowEachOther(); });
    }

    test::PlatformSite &site() { return m_site; }
    const standin::PromiseChecks &checks() const { return m_checks; }

    void partition(const QSet<int> &daemons, PartitionForm form)
    {
        m_partitioned = daemons;
        for (const auto &proxy : m_proxies)
            proxy->partition(daemons, form);
    }

    /// Sends requests to the daemons in turn for @p duration; those that count are added to
    /// partitioned() and others().
    void send(Milliseconds duration, bool isCounted)
    {
        const MonotonicTime end = m_timers.now() + duration;
        MonotonicTime next = m_timers.now();
        test::waitFor(
            [&] {
                for (; next <= m_timers.now() && next < end; next += RequestInterval)
                    sendOne(isCounted);
                collect();
                return m_timers.now() >= end;
            },
            duration + std::chrono::seconds(30));
    }

    bool finish()
    {
        return test::waitFor([&] {
            collect();
            return m_calls.empty();
        });
    }

    const ServedCount &partitioned() const { return m_partitionedCount; }
    const ServedCount &others() const { return m_otherCount; }

    void forgetCounts()
    {
        m_partitionedCount = {};
        m_otherCount = {};
    }

    /// Empty if the partitioned daemons served their callers as the rule demands.
    std::string fault() const
    {
        const ServedCount &there = m_partitionedCount;
        const double ratioThere = double(there.served) / std::max(there.sent, 1);
        const double ratioElsewhere = double(m_otherCount.served) / std::max(m_otherCount.sent, 1);
        const int failed = there.sent - there.served;
        const int all = there.sent + m_otherCount.sent;
        const bool isBroken = ratioThere < MinServedRatio * ratioElsewhere
            && failed > AllowedFailures + AllowedFailureShare * all;
        return isBroken
            ? "partitioned daemons served " + textOf(there) + ", the others " + textOf(m_otherCount)
            : std::string();
    }

private:
    struct Call {
        QByteArray id;
        int daemon = 0;
        bool isCounted = false;
        bool isPartitioned = false;
        std::shared_ptr<test::ClientCall> call;
    };

    void addTarget(const QByteArray &id, const QByteArray &service)
    {
        Runner &runner = m_site.addRunner(id, service);
        runner.setGeneration(EventsPerStream, Milliseconds(10));
        runner.setAnswersPerConnection(AnswersPerConnection);
        runner.onRan([this, id](const HttpRequest &request) { m_checks.ran(id, request); });
        m_proxies.push_back(std::make_unique<PartitionProxy>(
            runner.endpoint(), [this](quint16 port, quint16 proxyPort) {
                return test::connectionOwner(port, proxyPort, m_site.processes());
            }));
        runner.setAnnounced(m_proxies.back()->endpoint());
        m_site.announce(runner, service, "ready");
    }

    bool knowEachOther()
    {
        for (int daemon = 0; daemon < DaemonCount; ++daemon) {
            if (!m_site.log(daemon).contains("name=peers.listed listed="
                                             + QByteArray::number(DaemonCount)))
                return false;
        }
        return true;
    }

    void sendOne(bool isCounted)
    {
        const int number = ++m_sent;
        const int daemon = number % DaemonCount;
        const QByteArray id = QByteArray::number(number);
        std::shared_ptr<test::ClientCall> call;
        switch ((number / DaemonCount) % 4) {
        case 0:
            call = m_site.send(daemon, "GET", "/safe/a", id, CallerDeadline);
            break;
        case 1:
            call = m_site.send(daemon, "POST", "/model/a", id, generation());
            break;
        default:
            call = m_site.send(daemon, "POST", "/unsafe/a", id, CallerDeadline);
            break;
        }
        m_calls.push_back({id, daemon, isCounted, m_partitioned.contains(daemon), std::move(call)});
    }

    void collect()
    {
        for (auto call = m_calls.begin(); call != m_calls.end();) {
            if (!call->call->isOver) {
                ++call;
                continue;
            }
            const bool isWhole = call->call->end == HttpExchangeEnd::Complete;
            m_checks.answered(call->id, call->call->response, isWhole);
            if (call->isCounted) {
                ServedCount &count = call->isPartitioned ? m_partitionedCount : m_otherCount;
                ++count.sent;
                ++count.statuses[isWhole ? call->call->response.status : 0];
                count.served += isWhole && call->call->response.status == 200 ? 1 : 0;
            }
            call = m_calls.erase(call);
        }
    }

    test::PlatformSite m_site;
    QtTimerService m_timers;
    standin::PromiseChecks m_checks;
    std::vector<std::unique_ptr<PartitionProxy>> m_proxies;
    QSet<int> m_partitioned;
    std::vector<Call> m_calls;
    ServedCount m_partitionedCount;
    ServedCount m_otherCount;
    int m_sent = 0;
};

const std::vector<std::pair<const char *, QSet<int>>> Groups{
    {"one", {1}}, {"a data centre", {0, 2, 4}}, {"all but one", {0, 1, 2, 3, 4}}};

} // namespace

BOOST_DATA_TEST_CASE(TheyServeAsOftenAsTheOthers, data::xrange(standin::PartitionFormCount))
{
    // Guards against callers of a daemon that reaches no target getting failures while others
    // serve.
    const auto form = PartitionForm(sample);
    PartitionSite site;
    site.send(std::chrono::seconds(1), false);
    for (const auto &[name, daemons] : Groups) {
        BOOST_TEST_CONTEXT(standin::partitionFormName(form) << ", " << name)
        {
            site.forgetCounts();
            site.partition(daemons, form);
            site.send(StableTime, false);
            site.send(CountedTime, true);
            site.partition({}, form);
            site.send(HealTime, false);
            BOOST_TEST(site.finish());
            BOOST_TEST(site.fault() == "");
            BOOST_TEST(site.partitioned().sent > 0);
            BOOST_TEST_MESSAGE(standin::partitionFormName(form)
                               << ", " << name << ": " << textOf(site.partitioned()) << ", others "
                               << textOf(site.others()));
        }
    }
    for (int daemon = 0; daemon < DaemonCount; ++daemon)
        BOOST_TEST_MESSAGE("daemon " << daemon << " found a service unreachable "
                                     << site.site().log(daemon).count("name=service.unreachable")
                                     << " times");
    BOOST_TEST(site.checks().broken().join(u'\n').toStdString() == "");
}
