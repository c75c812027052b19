// The load tool's command line: bad input gets one clear line, and a broken answer is told.
#define BOOST_TEST_MODULE LoadToolUse
#include <boost/test/unit_test.hpp>

#include "support/FleetClient.h"
#include "support/FleetProcess.h"

#include <QTemporaryDir>

using namespace cranberry;
using namespace cranberry::test;

namespace {

struct Fixture {
    Fixture()
        : target(QStringLiteral("standin-target"),
                 {QStringLiteral("--port"), QStringLiteral("0"), QStringLiteral("--length_median"),
                  QStringLiteral("10")},
                 folder.filePath(QStringLiteral("target")))
    {
    }

    std::unique_ptr<FleetProcess> load(const QStringList &arguments)
    {
        auto process =
            std::make_unique<FleetProcess>(QStringLiteral("cranberry-load"), arguments,
                                           folder.filePath(QStringLiteral("load-%1").arg(runs++)));
        BOOST_REQUIRE(process->waitEnded());
        return process;
    }

    QStringList shortLoad()
    {
        BOOST_REQUIRE(target.waitReady());
        const QString url = QStringLiteral("http://127.0.0.1:%1").arg(target.port("port"));
        return {QStringLiteral("--gateways"),    url,
                QStringLiteral("--targets"),     url,
                QStringLiteral("--plain_share"), QStringLiteral("0"),
                QStringLiteral("--rate"),        QStringLiteral("20"),
                QStringLiteral("--duration_s"),  QStringLiteral("1"),
                QStringLiteral("--json"),        folder.filePath(QStringLiteral("load.json"))};
    }

    QTemporaryDir folder;
    FleetClient client;
    FleetProcess target;
    int runs = 0;
};

} // namespace

BOOST_FIXTURE_TEST_CASE(BadFlagsGetOneLineThatNamesThem, Fixture)
{
    struct {
        QStringList arguments;
        QByteArray named;
    } const cases[] = {
        {{}, "--gateways"},
        {{QStringLiteral("--gateways"), QStringLiteral("nowhere")}, "nowhere"},
        {{QStringLiteral("--gateways"), QStringLiteral("http://127.0.0.1:1"),
          QStringLiteral("--rate"), QStringLiteral("-1")},
         "--rate"},
        {{QStringLiteral("--gateways"), QStringLiteral("http://127.0.0.1:1"),
          QStringLiteral("--seeds"), QStringLiteral("one")},
         "--seeds"},
        {{QStringLiteral("--gateways"), QStringLiteral("http://127.0.0.1:1"),
          QStringLiteral("explode")},
         "explode"},
        {{QStringLiteral("--gateways"), QStringLiteral("http://127.0.0.1:1"),
          QStringLiteral("compare")},
         "--operator_token_file"},
    };
    for (const auto &use : cases) {
        const auto process = load(use.arguments);
        BOOST_TEST(process->exitCode() == 2);
        BOOST_TEST(process->errorOutput().count('\n') == 1);
        BOOST_CHECK_MESSAGE(process->errorOutput().contains(use.named),
                            process->errorOutput().constData());
    }
}

BOOST_FIXTURE_TEST_CASE(HealthyTargetIsMeasured, Fixture)
{
    const auto process = load(shortLoad());
    BOOST_TEST(process->exitCode() == 0);
    BOOST_CHECK(process->output().contains("tokens lost 0, doubled 0"));
}

BOOST_FIXTURE_TEST_CASE(TargetThatMixesInForeignTokensIsFound, Fixture)
{
    const QStringList arguments = shortLoad();
    const HttpEndpoint endpoint{QStringLiteral("127.0.0.1"), target.port("port")};
    BOOST_REQUIRE(
        client.sendJson(endpoint, "POST", "/faults", {{QStringLiteral("wrong_attempt"), true}})
            .is(200));
    const auto process = load(arguments);
    BOOST_TEST(process->exitCode() == 1);
}
