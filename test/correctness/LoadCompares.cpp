// cranberry-load compare against a running fleet: it changes the policy and writes its figures.
#define BOOST_TEST_MODULE LoadCompares
#include <boost/test/unit_test.hpp>

#include "support/Fleet.h"

#include <QFile>
#include <QJsonDocument>

using namespace cranberry;
using namespace cranberry::test;

namespace {

QByteArray contentOf(const QString &name)
{
    QFile file(name);
    return file.open(QIODevice::ReadOnly) ? file.readAll() : QByteArray();
}

QString urlOf(const HttpEndpoint &endpoint)
{
    return QStringLiteral("http://%1:%2").arg(endpoint.address).arg(endpoint.port);
}

FleetPlan quickPlan()
{
    FleetPlan plan;
    plan.plainServices = 1;
    plan.engineFlags = {QStringLiteral("--length_median=10")};
    return plan;
}

} // namespace

BOOST_AUTO_TEST_CASE(PoliciesAreMeasuredInTurnOnTheSameArrivals)
{
    Fleet fleet(quickPlan());
    BOOST_REQUIRE(fleet.start());
    const QString json = fleet.folder() + QStringLiteral("/compare.json");
    const QString plot = fleet.folder() + QStringLiteral("/compare.svg");
    const QStringList arguments{
        QStringLiteral("compare"),
        QStringLiteral("--gateways=%1,%2").arg(urlOf(fleet.gateway(0)), urlOf(fleet.gateway(1))),
        QStringLiteral("--targets=%1,%2")
            .arg(urlOf(fleet.engineEndpoint(0)), urlOf(fleet.engineEndpoint(1))),
        QStringLiteral("--operator_token_file=%1/token").arg(fleet.folder()),
        QStringLiteral("--policies=two_choices,forecast"),
        QStringLiteral("--rate=20"),
        QStringLiteral("--duration_s=1"),
        QStringLiteral("--json=%1").arg(json),
        QStringLiteral("--plot=%1").arg(plot)};
    FleetProcess load(QStringLiteral("cranberry-load"), arguments,
                      fleet.folder() + QStringLiteral("/load"));
    BOOST_REQUIRE(load.waitEnded());
    BOOST_CHECK_MESSAGE(load.exitCode() == 0, (load.output() + load.errorOutput()).constData());
    // Each policy is a change of the document after the first one.
    BOOST_TEST(fleet.versionOf(0) == 3);
    const QJsonObject policies =
        QJsonDocument::fromJson(contentOf(json)).object()[QLatin1String("policies")].toObject();
    BOOST_REQUIRE(policies.size() == 2);
    const auto requestsOf = [&](const char *policy) {
        return policies[QLatin1String(policy)][QLatin1String("runs")][0][QLatin1String("requests")]
            .toInt();
    };
    BOOST_TEST(requestsOf("two_choices") > 0);
    BOOST_TEST(requestsOf("two_choices") == requestsOf("forecast"));
    BOOST_CHECK(contentOf(plot).contains("<svg"));
}
