// How daemons learn of accepted changes: watches, heartbeats and pulls.
#define BOOST_TEST_MODULE ConfigurationPropagator
#include <boost/test/unit_test.hpp>

#include "configuration/BroadcastTree.h"
#include "configuration/SnapshotWriter.h"
#include "support/EventLoop.h"
#include "support/SpreadFleet.h"

#include <QJsonArray>

using namespace cranberry;
using cranberry::test::smallDocument;
using cranberry::test::SpreadFleet;

namespace {

struct Fixture {
    Fixture() { test::ensureApplication(); }

    /// Lets daemons tell each other their versions until all agree on @p version.
    bool spreadTo(SpreadFleet &fleet, qint64 version) const
    {
        return test::waitFor([&] {
            fleet.tellVersions();
            return fleet[0].daemon.store.version().value() == version && fleet.agree();
        });
    }

    QtTimerService timers;
};

} // namespace

BOOST_FIXTURE_TEST_CASE(ADaemonThatKnowsOfNobodyWatchesItself, Fixture)
{
    SpreadFleet fleet(2, 1, timers);
    fleet[0].members.all.clear();
    fleet[1].members.all.clear();
    BOOST_REQUIRE(fleet.start());
    BOOST_REQUIRE(fleet[0].daemon.submitMany(3));
    BOOST_REQUIRE(test::waitFor([&] { return fleet.agree(); }));
    BOOST_TEST(fleet.watching() == 2);
}

BOOST_FIXTURE_TEST_CASE(TwoDaemonsADataCentreWatchAndTheOthersPull, Fixture)
{
    SpreadFleet fleet(12, 3, timers);
    BOOST_REQUIRE(fleet.start());
    BOOST_TEST(fleet.watching() == 6);
    const int reads = fleet.table->reads;
    BOOST_REQUIRE(fleet[0].daemon.submitMany(5));
    BOOST_REQUIRE(spreadTo(fleet, 5));
    // Whoever accepted a change reads once; nobody else asked the platform but by its watch.
    BOOST_TEST(fleet.table->reads - reads == 5);
}

BOOST_AUTO_TEST_CASE(TreeReachesEveryoneExactlyOnce)
{
    for (const int count : {1, 2, 3, 5, 6, 21, 128}) {
        QList<VmId> members;
        for (int i = 0; i < count; ++i)
            members.append(VmId(QStringLiteral("vm%1").arg(i)));
        for (const VmId &root : members) {
            QList<VmId> reached{root};
            for (qsizetype i = 0; i < reached.size() && reached.size() <= count; ++i)
                reached.append(broadcastChildren(members, root, reached.at(i), 4));
            std::sort(reached.begin(), reached.end());
            std::sort(members.begin(), members.end());
            BOOST_CHECK(reached == members);
        }
    }
    BOOST_TEST(broadcastChildren({VmId("a")}, VmId("b"), VmId("a"), 4).isEmpty());
}

BOOST_FIXTURE_TEST_CASE(ChangesReachEveryoneWithoutAHeartbeat, Fixture)
{
    SpreadFleet fleet(40, 2, timers);
    BOOST_REQUIRE(fleet.start());
    BOOST_REQUIRE(fleet[0].daemon.submitMany(1));
    BOOST_REQUIRE(spreadTo(fleet, 1));
    BOOST_REQUIRE(fleet[0].daemon.submitMany(3));
    BOOST_REQUIRE(test::waitFor([&] { return fleet.agree(); }));
    BOOST_TEST(fleet[39].daemon.store.version().value() == 4);
}

BOOST_FIXTURE_TEST_CASE(OneFarBehindTakesTheWholeDocumentInParts, Fixture)
{
    SpreadFleet fleet(3, 1, timers);
    BOOST_REQUIRE(fleet.start());
    QJsonObject all;
    for (int i = 0; i < 3000; ++i) {
        const QString hash = QString::number(i, 16).rightJustified(64, QLatin1Char('0'));
        all.insert(QStringLiteral("w%1").arg(i),
                   QJsonObject{{"key_sha256", QJsonArray{hash}}, {"services", QJsonArray{"s"}}});
    }
    QJsonObject document = smallDocument(1);
    document.insert(QStringLiteral("workspaces"), all);
    // It has no history, so that it can only give the whole.
    fleet[0].daemon.store.applyDocument(ConfigurationVersion(7), document);
    BOOST_REQUIRE(spreadTo(fleet, 7));
    BOOST_CHECK(fleet[2].daemon.store.document() == document);
}

BOOST_FIXTURE_TEST_CASE(VersionsInForceNeverFall, Fixture)
{
    SpreadFleet fleet(6, 2, timers);
    BOOST_REQUIRE(fleet.start());
    BOOST_REQUIRE(fleet[0].daemon.submitMany(int(SnapshotInterval) + 5));
    BOOST_REQUIRE(spreadTo(fleet, SnapshotInterval + 5));
    for (int i = 0; i < fleet.size(); ++i) {
        const QList<qint64> &versions = fleet[i].daemon.inForce;
        BOOST_TEST(std::is_sorted(versions.begin(), versions.end()));
    }
}
