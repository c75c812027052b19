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
