// Tests the acceptance of configuration changes while the platform, or the daemon itself, fails.
#define BOOST_TEST_MODULE ConfigurationAcceptance
#include <boost/test/unit_test.hpp>

#include "configuration/SnapshotWriter.h"
#include "support/ConfigurationDaemon.h"
#include "support/EventLoop.h"
#include "support/ManualTimers.h"

#include <QJsonArray>

using namespace cranberry;
using cranberry::test::ConfigurationDaemon;
using cranberry::test::smallDocument;

namespace {

struct Fixture {
    Fixture()
    {
        test::ensureApplication();
        a.load();
        b.load();
    }

    std::shared_ptr<test::MemoryKeyValueTable> table =
        std::make_shared<test::MemoryKeyValueTable>();
    QtTimerService timers;
    ConfigurationDaemon a{table, timers};
    ConfigurationDaemon b{table, timers};
};

} // namespace

BOOST_FIXTURE_TEST_CASE(LostAnswerOfAWriteThatTookEffectIsAnAcceptance, Fixture)
{
    // Guards against a change that is reported as failed although it was accepted, so that the
    // operator sends it again and gets a conflict with herself. The write takes effect and its
    // answer is lost; the daemon reads the key again and finds its own change id.
    a.platform.loseAnswers = 1;
    const SubmitResult result = a.submit(0, smallDocument(7));
    BOOST_CHECK(result.outcome == SubmitOutcome::Accepted);
    BOOST_TEST(result.version.value() == 1);
    BOOST_REQUIRE(b.load());
    BOOST_CHECK(b.store.document() == smallDocument(7));
}

BOOST_FIXTURE_TEST_CASE(LostRequestIsSentAgainUnderTheSameId, Fixture)
{
    // Guards against a change that is lost while its operator waits for it. The request is lost
    // before the platform receives it; a further read finds no key, so the same change is sent
    // again.
    a.platform.loseRequests = 2;
    BOOST_CHECK(a.submit(0, smallDocument(7)).outcome == SubmitOutcome::Accepted);
    BOOST_REQUIRE(b.load());
    BOOST_TEST(b.store.version().value() == 1);
}

BOOST_FIXTURE_TEST_CASE(LostRequestThatAnotherOvertookIsAConflict, Fixture)
{
    // Guards against two acceptances of version 1. A's request is lost; while A determines the
    // outcome, B creates the key. A finds B's change id and reports the conflict.
    a.platform.loseRequests = 1;
    a.platform.beforeNextWrite = [this] {
        b.store.submit(ConfigurationVersion(0), smallDocument(8), [](const SubmitResult &) {});
    };
    const SubmitResult result = a.submit(0, smallDocument(7));
    BOOST_CHECK(result.outcome == SubmitOutcome::VersionConflict);
    BOOST_TEST(result.version.value() == 1);
    BOOST_CHECK(a.store.document() == smallDocument(8));
}

BOOST_FIXTURE_TEST_CASE(OutageRefusesTheChangeAndKeepsTheVersion, Fixture)
{
    // Guards against the acceptance of a change that no other daemon can read. The platform is down
    // when the operator submits it; the daemon keeps its version.
    BOOST_REQUIRE(a.submitMany(1));
    a.platform.isDown = true;
    BOOST_CHECK(a.submit(1, smallDocument(7)).outcome == SubmitOutcome::PlatformUnavailable);
    BOOST_TEST(!a.load());
    BOOST_TEST(a.store.current()->version.value() == 1);
    a.platform.isDown = false;
    BOOST_CHECK(a.submit(1, smallDocument(7)).outcome == SubmitOutcome::Accepted);
}

BOOST_AUTO_TEST_CASE(OutageRightAfterALostAnswerIsUnsettled)
{
    // Guards against a change that is reported as not accepted although every daemon will apply it.
    // The write takes effect, its answer is lost, and the platform goes down before the further
    // read.
    test::ensureApplication();
    test::ManualTimers timers;
    const auto table = std::make_shared<test::MemoryKeyValueTable>();
    ConfigurationDaemon a(table, timers);
    BOOST_REQUIRE(a.load());
    a.platform.loseAnswers = 1;
    std::optional<SubmitResult> result;
    a.store.submit(ConfigurationVersion(0), smallDocument(7),
                   [&](const SubmitResult &answer) { result = answer; });
    BOOST_REQUIRE(test::waitFor([&] { return a.platform.loseAnswers == 0; }));
    a.platform.isDown = true;
    BOOST_REQUIRE(test::waitFor([&] {
        timers.advance(Milliseconds(100));
        return result.has_value();
    }));
    BOOST_CHECK(result->outcome == SubmitOutcome::Unsettled);
    a.platform.isDown = false;
    BOOST_REQUIRE(a.load());
    BOOST_CHECK(a.store.document() == smallDocument(7));
}

BOOST_FIXTURE_TEST_CASE(ChangeOfADaemonBehindTheTrimIsNotAccepted, Fixture)
{
    // Guards against two documents of the same version. B is paused at version 1 while the fleet
    // continues and trims the change to version 2; B's operator then creates that key without a
    // conflict. The base record covers version 2, so the change is refused, and no reader applies
    // the key.
    BOOST_REQUIRE(a.submitMany(1));
    BOOST_REQUIRE(b.load());
    // The second snapshot trims the changes up to the first one, in ascending order.
    BOOST_REQUIRE(a.submitMany(int(2 * SnapshotInterval) - 1));
    BOOST_REQUIRE(test::waitFor([&] {
        return !table->entries.contains(changeKey(ConfigurationVersion(SnapshotInterval)));
    }));
    const SubmitResult result = b.submit(1, smallDocument(999));
    BOOST_CHECK(result.outcome == SubmitOutcome::VersionConflict);
    BOOST_TEST(table->entries.contains(changeKey(ConfigurationVersion(2))));
    BOOST_TEST(result.version.value() == a.store.version().value());
    BOOST_CHECK(b.store.document() == a.store.document());
    ConfigurationDaemon lateDaemon(table, timers);
    BOOST_REQUIRE(lateDaemon.load());
    BOOST_CHECK(lateDaemon.store.document() == a.store.document());
}

BOOST_FIXTURE_TEST_CASE(SnapshotThatIsReplacedWhileItIsReadIsReadAnew, Fixture)
{
    // Guards against a starting daemon without a configuration. It has read the base record when a
    // newer snapshot replaces that one and its parts are removed.
    BOOST_REQUIRE(a.submitMany(int(2 * SnapshotInterval)));
    BOOST_REQUIRE(test::waitFor([&] {
        return !table->entries.contains(changeKey(ConfigurationVersion(SnapshotInterval)));
    }));
    ConfigurationDaemon lateDaemon(table, timers);
    bool isLoaded = false;
    lateDaemon.platform.holdReads(SnapshotPrefix);
    lateDaemon.store.load(
        [&](const Result<ConfigurationVersion> &result) { isLoaded = result.has_value(); });
    BOOST_REQUIRE(test::waitFor([&] { return lateDaemon.platform.isHolding(); }));
    BOOST_REQUIRE(a.submitMany(int(SnapshotInterval) + 1));
    BOOST_REQUIRE(test::waitFor([&] {
        return !table->entries.contains(changeKey(ConfigurationVersion(SnapshotInterval + 1)));
    }));
    lateDaemon.platform.resume();
    BOOST_REQUIRE(test::waitFor([&] { return isLoaded; }));
    BOOST_CHECK(lateDaemon.store.document() == a.store.document());
}

BOOST_FIXTURE_TEST_CASE(TwentyRacingOperatorsLoseNoChangeAndShareNoVersion, Fixture)
{
    // Guards against an accepted change that another one overwrites. Twenty operators submit at the
    // same time through two daemons, each adding a workspace, and retry on a conflict until all
    // changes are accepted.
    constexpr int Operators = 20;
    QList<qint64> accepted;
    int conflicts = 0;
    std::function<void(ConfigurationStore &, int)> submitOne;
    submitOne = [&](ConfigurationStore &store, int operatorNumber) {
        QJsonObject document = store.document();
        if (document.isEmpty())
            document = smallDocument(1);
        QJsonObject workspaces = document["workspaces"].toObject();
        workspaces.insert(QStringLiteral("w%1").arg(operatorNumber),
                          QJsonObject{{"key_sha256", QJsonArray()}, {"services", QJsonArray{"s"}}});
        document.insert(QStringLiteral("workspaces"), workspaces);
        store.submit(store.version(), document, [&, operatorNumber](const SubmitResult &result) {
            if (result.outcome == SubmitOutcome::Accepted) {
                accepted.append(result.version.value());
                return;
            }
            conflicts += result.outcome == SubmitOutcome::VersionConflict;
            submitOne(store, operatorNumber);
        });
    };
    for (int i = 0; i < Operators; ++i)
        submitOne(i % 2 == 0 ? a.store : b.store, i);
    BOOST_REQUIRE(test::waitFor([&] { return accepted.size() == Operators; }));
    std::sort(accepted.begin(), accepted.end());
    BOOST_TEST((accepted.first() == 1 && accepted.last() == Operators));
    BOOST_TEST((std::adjacent_find(accepted.begin(), accepted.end()) == accepted.end()));
    BOOST_TEST(conflicts > 0);
    BOOST_REQUIRE(a.load());
    BOOST_REQUIRE(b.load());
    BOOST_TEST(a.store.document()["workspaces"].toObject().size() == Operators);
    BOOST_CHECK(a.store.document() == b.store.document());
}

BOOST_FIXTURE_TEST_CASE(DaemonThatCannotReadAVersionKeepsTheLastOneInForce, Fixture)
{
    // Guards against an old daemon that stops serving during an upgrade. A newer build accepts a
    // member that this one does not know; it keeps its document, reports the fault, and applies
    // later versions.
    BOOST_REQUIRE(a.submitMany(1));
    const ConfigurationChange unreadableChange{
        ConfigurationVersion(2), ChangeId("x"), {{"novel", QJsonObject()}}};
    a.store.applyChanges({unreadableChange});
    BOOST_REQUIRE(test::waitFor([&] { return a.store.version().value() == 2; }));
    BOOST_TEST(a.store.current()->version.value() == 1);
    BOOST_TEST(!a.store.fault().isEmpty());
    a.store.applyChanges({{ConfigurationVersion(3), ChangeId("y"), {{"novel", QJsonValue::Null}}}});
    BOOST_REQUIRE(test::waitFor([&] { return a.store.current()->version.value() == 3; }));
    BOOST_TEST(a.store.fault().isEmpty());
}
