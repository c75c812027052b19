// cranberryctl against the operators' paths of daemons in this process.
#define BOOST_TEST_MODULE Ctl
#include <boost/test/unit_test.hpp>

#include "support/CtlRun.h"
#include "support/EventLoop.h"
#include "support/JsonText.h"
#include "support/OperatorServer.h"

#include <QJsonArray>

using namespace cranberry;
using cranberry::test::CtlRun;
using cranberry::test::jsonObject;
using cranberry::test::OperatorServer;
using cranberry::test::runCtl;
using cranberry::test::smallDocument;
using cranberry::test::temporaryFile;

namespace {

struct Fixture {
    Fixture()
    {
        test::ensureApplication();
        server.emplace("vm1", table);
        server->daemon.load();
        token = temporaryFile("token", OperatorServer::Token + '\n');
    }

    CtlRun ctl(const QStringList &words) const
    {
        return runCtl(words + QStringList{"--server", server->url(), "--token_file", token});
    }

    static QString documentFile(int maxTokens)
    {
        return temporaryFile(QStringLiteral("document-%1.json").arg(maxTokens),
                             QJsonDocument(smallDocument(maxTokens)).toJson());
    }

    std::shared_ptr<test::MemoryKeyValueTable> table =
        std::make_shared<test::MemoryKeyValueTable>();
    std::optional<OperatorServer> server;
    QString token;
};

/// What "explain" prints for the request r1 with @p lines as the log of its daemon. Each line is
/// an event's name and its fields after "request".
QByteArray explained(const QList<QByteArray> &lines)
{
    QByteArray log;
    for (const QByteArray &line : lines) {
        const qsizetype name = line.indexOf(' ');
        log += "time=2026-01-01T00:00:00.00" + QByteArray::number(log.count('\n'))
            + "Z name=" + line.left(name) + " request=r1" + line.mid(name) + '\n';
    }
    const CtlRun run = runCtl(
        {QStringLiteral("explain"), QStringLiteral("r1"), temporaryFile("overload.log", log)});
    BOOST_TEST(run.exitCode == 0, run.errors.toStdString());
    return run.output;
}

const QByteArray EndedWithoutRoom =
    "relay.ended outcome=no_target late=\"\" ran=no come_back_ms=900 ms=2";

} // namespace

BOOST_FIXTURE_TEST_CASE(ApplyShowAndDiffGoTogether, Fixture)
{
    const CtlRun applied = ctl({"apply", documentFile(3)});
    BOOST_TEST(applied.exitCode == 0, applied.errors.toStdString());
    BOOST_TEST(applied.output.toStdString() == "accepted as version 1\n");
    const CtlRun shown = ctl({"show", "--json"});
    BOOST_TEST(jsonObject(shown.output)["version"].toInteger() == 1);
    BOOST_CHECK(jsonObject(shown.output)["document"].toObject() == smallDocument(3));
    BOOST_TEST(ctl({"diff", documentFile(3)}).exitCode == 0);
    const CtlRun differs = ctl({"diff", documentFile(4)});
    BOOST_TEST(differs.exitCode == 1);
    BOOST_TEST(differs.output.toStdString() == "~ models.m.max_tokens: 3 -> 4\n");
    const CtlRun patch = ctl({"diff", "--json", documentFile(4)});
    BOOST_CHECK(jsonObject(patch.output)["patch"].toObject()
                == jsonObject(R"({"models": {"m": {"max_tokens": 4}}})"));
}

BOOST_FIXTURE_TEST_CASE(ApplyFromAnOldVersionIsAConflictThatShowsTheChanges, Fixture)
{
    BOOST_REQUIRE(ctl({"apply", documentFile(3)}).exitCode == 0);
    const CtlRun late = ctl({"apply", documentFile(4), "--expected_version", "0"});
    BOOST_TEST(late.exitCode == 4);
    BOOST_TEST(late.errors.contains("current version is 1"));
    BOOST_TEST(late.output.contains("max_tokens"));
}

BOOST_FIXTURE_TEST_CASE(WaitEndsWhenAllMembersReportTheVersion, Fixture)
{
    server->members = {QJsonObject{{"vm", "vm1"}, {"state", "alive"}, {"configuration_version", 0}},
                       QJsonObject{{"vm", "vm2"}, {"state", "alive"}, {"configuration_version", 1}},
                       QJsonObject{{"vm", "vm3"}, {"state", "dead"}, {"configuration_version", 0}}};
    const CtlRun done = ctl({"apply", documentFile(3), "--wait"});
    BOOST_TEST(done.exitCode == 0, done.errors.toStdString());
    BOOST_TEST(done.output.contains("in force everywhere"));
}

BOOST_FIXTURE_TEST_CASE(WaitNamesTheMembersThatAreBehind, Fixture)
{
    server->members = {
        QJsonObject{{"vm", "vm2"}, {"state", "alive"}, {"configuration_version", 0}},
        QJsonObject{{"vm", "vm3"}, {"state", "alive"}, {"configuration_version", 1}}};
    const CtlRun late = ctl({"apply", documentFile(3), "--wait", "--timeout_s", "0"});
    BOOST_TEST(late.exitCode == 7);
    BOOST_TEST(late.errors.contains("vm2 (version 0)"));
    BOOST_TEST(!late.errors.contains("vm3"));
}

BOOST_FIXTURE_TEST_CASE(WaitOnAListOfServersAsksEachAndNamesTheSilentOne, Fixture)
{
    OperatorServer other("vm2", table);
    BOOST_REQUIRE(other.daemon.load());
    const QString silent = QStringLiteral("http://127.0.0.1:1");
    const QStringList flags{"--token_file", token, "--wait", "--timeout_s", "0"};
    const CtlRun late = runCtl(QStringList{"apply", documentFile(3), "--server",
                                           server->url() + ',' + other.url() + ',' + silent}
                               + flags);
    BOOST_TEST(late.exitCode == 7);
    BOOST_TEST(late.errors.contains("vm2 at 127.0.0.1"));
    BOOST_TEST(late.errors.contains("127.0.0.1:1 (no connection)"));
    BOOST_TEST(!late.errors.contains("vm1 at"));
}

BOOST_FIXTURE_TEST_CASE(StatusAndTargetsArePrintedAsTables, Fixture)
{
    server->members = {QJsonObject{
        {"vm", "vm2"}, {"data_centre", "dc1"}, {"state", "alive"}, {"configuration_version", 4}}};
    const CtlRun status = ctl({"status"});
    BOOST_TEST(status.exitCode == 0);
    BOOST_TEST(status.output.contains("vm1: version 0, ready, platform reachable"));
    BOOST_TEST(status.output.contains("vm2  dc1          alive  4"));
    BOOST_TEST(ctl({"targets"}).exitCode == 0);
    BOOST_TEST(jsonObject(ctl({"status", "--json"}).output)["vm"].toString().toStdString()
               == "vm1");
}

// An operator who sees only "no_target" cannot tell an estimate from targets that refused.
BOOST_AUTO_TEST_CASE(RejectionByAnEstimateIsExplained)
{
    const QByteArray text =
        explained({"admission.rejected service=m level=37 returns=new work=900 ahead=5200 "
                   "placed_per_s=1300.0 expected_ms=4100 limit_ms=1900 retry_ms=900 heard=11 "
                   "age_ms=640",
                   EndedWithoutRoom});
    BOOST_TEST(text.contains("Rejected by an estimate on arrival: expected wait 4100 ms, and it "
                             "might wait 1900 ms."));
    BOOST_TEST(text.contains("It had level 37 (combined priority 9, overuse level 1); work ahead "
                             "5200 room seconds, its own room 900."));
    BOOST_TEST(text.contains("The fleet placed 1300.0 room seconds per second for this level, by "
                             "the rates of this daemon and 11 others, the oldest 640 ms old."));
    BOOST_TEST(text.contains("Its caller was told to retry after 900 ms."));
    BOOST_TEST(!text.contains("No target accepted"));
}

BOOST_AUTO_TEST_CASE(RejectionAfterAWaitIsExplained)
{
    const QByteArray rejected = "admission.rejected service=m level=400 returns=as_told work=1 "
                                "ahead=30 placed_per_s=10.0 expected_ms=3100 retry_ms=3100 heard=0 "
                                "age_ms=0 limit_ms=";
    const QByteArray waiting = "relay.waiting service=m targets=2 limited=0";
    const QByteArray estimate = explained({waiting, rejected + "800", EndedWithoutRoom});
    BOOST_TEST(estimate.contains("Rejected by an estimate while it waited: expected wait 3100 ms"));
    BOOST_TEST(estimate.contains("level 400 (it could no longer be on time)"));
    BOOST_TEST(estimate.contains("The daemon knew 2 targets of its service."));
    const QByteArray over = explained({waiting, rejected + "0", EndedWithoutRoom});
    BOOST_TEST(over.contains("It got no room in the time that it might wait."));
    BOOST_TEST(!over.contains("Rejected by an estimate"));
}

// An early return is rejected without an estimate that exceeds its limit, so that figures of one
// alone would not explain it.
BOOST_AUTO_TEST_CASE(EarlyReturnIsExplained)
{
    const QByteArray text = explained({"admission.rejected service=m level=4 returns=early work=1 "
                                       "ahead=0 placed_per_s=0.0 expected_ms=0 limit_ms=1200 "
                                       "retry_ms=450 heard=0 age_ms=0",
                                       EndedWithoutRoom});
    BOOST_TEST(text.contains("Rejected as an early return"));
    BOOST_TEST(text.contains("The rate of placements was not known."));
    BOOST_TEST(text.contains("told to retry after 450 ms"));
}

BOOST_AUTO_TEST_CASE(HeldAndLateAnswersAreExplained)
{
    const QByteArray ended = "relay.ended outcome=answered ran=yes first_ms=2100 pause_ms=700 "
                             "move_pause_ms=650 ms=5000 late=";
    const QByteArray held =
        explained({"admission.held service=m level=8 work=3 ahead=12", ended + "answer"});
    BOOST_TEST(held.contains("held for others at first although a target had room: level 8 "
                             "(combined priority 2, overuse level 0); its own room 3, room that "
                             "those ahead needed 12."));
    BOOST_TEST(held.contains("Late: the answer or its first event came after the objective."));
    BOOST_TEST(explained({ended + "move_pause"}).contains("Late: a pause caused by a move"));
    BOOST_TEST(explained({ended + "pause"}).contains("Late: a pause that no move caused"));
    const QByteArray onTime = explained({ended + "on_time"});
    BOOST_TEST(onTime.contains("First event after 2100 ms"));
    BOOST_TEST(!onTime.contains("Late:"));
    BOOST_TEST(!onTime.contains("held for others"));
}
