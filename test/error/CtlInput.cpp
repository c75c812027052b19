// Wrong input to cranberryctl: what is wrong is said in a line, and the exit code tells.
#define BOOST_TEST_MODULE CtlInput
#include <boost/test/unit_test.hpp>

#include "support/CtlRun.h"
#include "support/EventLoop.h"
#include "support/JsonText.h"
#include "support/OperatorServer.h"

#include <QJsonArray>

using namespace cranberry;
using cranberry::test::CtlRun;
using cranberry::test::OperatorServer;
using cranberry::test::runCtl;
using cranberry::test::temporaryFile;

namespace {

struct Fixture {
    Fixture() { test::ensureApplication(); }

    const QString token = temporaryFile("token", OperatorServer::Token);
    const QString good = temporaryFile("good.json", QJsonDocument(test::smallDocument(1)).toJson());
};

void checkRun(const QStringList &arguments, int exitCode, const QByteArray &said)
{
    const CtlRun run = runCtl(arguments);
    const std::string call = arguments.join(' ').toStdString();
    BOOST_TEST(run.exitCode == exitCode, call << " ended with " << run.exitCode);
    BOOST_TEST(run.errors.contains(said), call << " said " << run.errors.toStdString());
}

} // namespace

BOOST_FIXTURE_TEST_CASE(WrongUseEndsWithTwo, Fixture)
{
    checkRun({}, 2, "no command");
    checkRun({"frobnicate"}, 2, "unknown command \"frobnicate\"");
    checkRun({"validate"}, 2, "usage: cranberryctl validate FILE");
    checkRun({"show", "extra"}, 2, "usage: cranberryctl show");
    checkRun({"validate", "/no/such/file.json"}, 2, "/no/such/file.json: ");
    checkRun({"show"}, 2, "--token_file");
    checkRun({"show", "--token_file", "/no/such/token"}, 2, "--token_file");
    checkRun({"show", "--server", "ftp://x"}, 2, "expected http://ADDRESS:PORT, got \"ftp://x\"");
    checkRun({"show", "--server", ""}, 2, "at least one --server");
    checkRun({"show", "--nonsense"}, 1, "nonsense");
}

BOOST_FIXTURE_TEST_CASE(FileThatIsNoDocumentIsToldWithThePlace, Fixture)
{
    checkRun({"validate", temporaryFile("cut.json", "{\"services\": ")}, 2, "not JSON at byte");
    checkRun({"validate", temporaryFile("list.json", "[1]")}, 2, "expected a JSON object");
    checkRun({"validate", temporaryFile("empty.json", "")}, 2, "not JSON at byte 0");
}

BOOST_FIXTURE_TEST_CASE(AllFaultsOfADocumentArePrintedWithTheirPaths, Fixture)
{
    const QString wrong =
        temporaryFile("wrong.json", R"({"services": {"s": {"kind": "x"}}, "y": 1})");
    checkRun({"validate", wrong}, 3,
             "services.s.kind: expected one of \"model\", \"plain\", got \"x\"");
    checkRun({"validate", wrong}, 3, "y: unknown member");
    const CtlRun json = runCtl({"validate", "--json", wrong});
    BOOST_TEST(test::jsonObject(json.output)["faults"].toArray().size() == 2);
    OperatorServer server("vm1", std::make_shared<test::MemoryKeyValueTable>());
    BOOST_REQUIRE(server.daemon.load());
    checkRun({"apply", wrong, "--server", server.url(), "--token_file", token}, 3,
             "y: unknown member");
}

BOOST_FIXTURE_TEST_CASE(DaemonThatCannotAnswerEndsWithFive, Fixture)
{
    const QStringList silent{"--server", "http://127.0.0.1:1", "--token_file", token};
    checkRun(QStringList{"apply", good} + silent, 5, "no connection");
    checkRun(QStringList{"diff", good} + silent, 5, "no connection");
    checkRun(QStringList{"status"} + silent, 5, "no connection");
    OperatorServer server("vm1", std::make_shared<test::MemoryKeyValueTable>());
    BOOST_REQUIRE(server.daemon.load());
    const QString otherToken = temporaryFile("other-token", "wrong");
    checkRun({"show", "--server", server.url(), "--token_file", otherToken}, 5, "HTTP 401");
    server.daemon.platform.isDown = true;
    checkRun({"apply", good, "--server", server.url(), "--token_file", token}, 5, "HTTP 503");
}
