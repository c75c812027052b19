// The configuration store: acceptance, loading, snapshots and trimming.
#define BOOST_TEST_MODULE ConfigurationStore
#include <boost/test/unit_test.hpp>

#include "configuration/SnapshotWriter.h"
#include "support/ConfigurationDaemon.h"
#include "support/EventLoop.h"
#include "support/JsonText.h"

#include <QJsonArray>

using namespace cranberry;
using cranberry::test::ConfigurationDaemon;
using cranberry::test::smallDocument;

namespace {

struct Fixture {
    Fixture() { test::ensureApplication(); }

    qsizetype keysUnder(const QString &prefix) const
    {
        const QStringList keys = table->entries.keys();
        return std::count_if(keys.begin(), keys.end(),
                             [&](const QString &key) { return key.startsWith(prefix); });
    }

    std::shared_ptr<test::MemoryKeyValueTable> table =
        std::make_shared<test::MemoryKeyValueTable>();
    QtTimerService timers;
};

/// A document of about @p workspaces * 250 bytes.
QJsonObject largeDocument(int workspaces)
{
    QJsonObject all;
    for (int i = 0; i < workspaces; ++i) {
        const QString hash = QString::number(i, 16).rightJustified(64, QLatin1Char('0'));
        all.insert(QStringLiteral("workspace-%1").arg(i),
                   QJsonObject{{"key_sha256", QJsonArray{hash}},
                               {"services", QJsonArray{"s"}},
                               {"limits", QJsonObject{{"concurrent_requests", i}}}});
    }
    QJsonObject document = smallDocument(1);
    document.insert(QStringLiteral("workspaces"), all);
    return document;
}

} // namespace

BOOST_FIXTURE_TEST_CASE(WithoutAnyChangeTheEmptyVersionZeroIsInForce, Fixture)
{
    ConfigurationDaemon a(table, timers);
    BOOST_TEST(!a.store.current());
    BOOST_REQUIRE(a.load());
    BOOST_REQUIRE(a.store.current());
    BOOST_TEST(a.store.current()->version.value() == 0);
    BOOST_TEST(a.store.current()->services.isEmpty());
}

BOOST_FIXTURE_TEST_CASE(AcceptedDocumentIsInForceHereAndAfterALoadElsewhere, Fixture)
{
    ConfigurationDaemon a(table, timers);
    ConfigurationDaemon b(table, timers);
    BOOST_REQUIRE(a.load());
    const SubmitResult result = a.submit(0, smallDocument(7));
    BOOST_REQUIRE(result.outcome == SubmitOutcome::Accepted);
    BOOST_TEST(result.version.value() == 1);
    BOOST_TEST(a.store.current()->models.first().maxTokens.value() == 7);
    BOOST_CHECK(a.inForce == (QList<qint64>{0, 1}));
    BOOST_REQUIRE(b.load());
    BOOST_CHECK(b.store.document() == smallDocument(7));
    BOOST_TEST(b.store.version().value() == 1);
}

BOOST_FIXTURE_TEST_CASE(AcceptanceIsOneWriteAndOneRead, Fixture)
{
    ConfigurationDaemon a(table, timers);
    BOOST_REQUIRE(a.load());
    const int reads = table->reads;
    BOOST_REQUIRE(a.submitMany(10));
    BOOST_TEST(table->writes == 10);
    BOOST_TEST(table->reads - reads == 10);
}

BOOST_FIXTURE_TEST_CASE(SubmissionAgainstAnOldVersionIsRefusedWithThePresentOne, Fixture)
{
    ConfigurationDaemon a(table, timers);
    BOOST_REQUIRE(a.load());
    BOOST_REQUIRE(a.submitMany(2));
    const SubmitResult result = a.submit(1, smallDocument(9));
    BOOST_CHECK(result.outcome == SubmitOutcome::VersionConflict);
    BOOST_TEST(result.version.value() == 2);
}

BOOST_FIXTURE_TEST_CASE(SubmissionAgainstAVersionNotYetSeenHereLoadsItFirst, Fixture)
{
    ConfigurationDaemon a(table, timers);
    ConfigurationDaemon b(table, timers);
    BOOST_REQUIRE(a.load());
    BOOST_REQUIRE(b.load());
    BOOST_REQUIRE(a.submitMany(3));
    BOOST_CHECK(b.submit(3, smallDocument(9)).outcome == SubmitOutcome::Accepted);
    BOOST_TEST(b.store.version().value() == 4);
    BOOST_CHECK(b.submit(9, smallDocument(9)).outcome == SubmitOutcome::VersionConflict);
}

BOOST_FIXTURE_TEST_CASE(FaultyDocumentWritesNothing, Fixture)
{
    ConfigurationDaemon a(table, timers);
    BOOST_REQUIRE(a.load());
    const SubmitResult result = a.submit(0, test::jsonObject(R"({"services": 1, "x": 2})"));
    BOOST_CHECK(result.outcome == SubmitOutcome::Invalid);
    BOOST_TEST(result.faults.size() == 2);
    BOOST_TEST(table->writes == 0);
}

BOOST_FIXTURE_TEST_CASE(ChangeOverTheSizeOfAValueIsAFault, Fixture)
{
    ConfigurationDaemon a(table, timers);
    BOOST_REQUIRE(a.load());
    const SubmitResult result = a.submit(0, largeDocument(6000));
    BOOST_REQUIRE(result.outcome == SubmitOutcome::Invalid);
    BOOST_TEST(result.faults.first().text().contains(QLatin1String("several steps")));
}

BOOST_FIXTURE_TEST_CASE(SnapshotsAreWrittenAndOlderChangesTrimmed, Fixture)
{
    ConfigurationDaemon a(table, timers);
    BOOST_REQUIRE(a.load());
    BOOST_REQUIRE(a.submitMany(int(2 * SnapshotInterval)));
    const auto trimmed = [&] { return keysUnder(ChangePrefix) == SnapshotInterval + 1; };
    BOOST_REQUIRE(test::waitFor(trimmed));
    BOOST_REQUIRE(test::waitFor([&] { return keysUnder(SnapshotPrefix) == 1; }));
    BOOST_REQUIRE(a.submitMany(3));
    ConfigurationDaemon late(table, timers);
    BOOST_REQUIRE(late.load());
    BOOST_TEST(late.store.version().value() == 2 * SnapshotInterval + 3);
    BOOST_CHECK(late.store.document() == a.store.document());
}

BOOST_FIXTURE_TEST_CASE(LargeSnapshotIsReadBackFromItsParts, Fixture)
{
    ConfigurationDaemon a(table, timers);
    BOOST_REQUIRE(a.load());
    BOOST_REQUIRE(a.submit(0, largeDocument(2000)).outcome == SubmitOutcome::Accepted);
    BOOST_REQUIRE(a.submit(1, largeDocument(4000)).outcome == SubmitOutcome::Accepted);
    for (int version = 2; version < 2 * SnapshotInterval; ++version) {
        QJsonObject document = a.store.document();
        document.insert(QStringLiteral("models"), smallDocument(version)["models"]);
        BOOST_REQUIRE(a.submit(version, document).outcome == SubmitOutcome::Accepted);
    }
    BOOST_REQUIRE(test::waitFor([&] {
        return keysUnder(ChangePrefix) == SnapshotInterval + 1 && keysUnder(SnapshotPrefix) > 1;
    }));
    for (const KeyValue &entry : std::as_const(table->entries))
        BOOST_TEST(entry.value.size() <= 900 * 1024);
    ConfigurationDaemon late(table, timers);
    BOOST_REQUIRE(late.load());
    BOOST_CHECK(late.store.document() == a.store.document());
}

BOOST_FIXTURE_TEST_CASE(ChangesFromPeersMayComeTwiceAndOutOfOrder, Fixture)
{
    ConfigurationDaemon a(table, timers);
    ConfigurationDaemon b(table, timers);
    BOOST_REQUIRE(a.load());
    BOOST_REQUIRE(a.submitMany(5));
    const QList<ConfigurationChange> all = *a.store.changesAfter(ConfigurationVersion());
    b.store.applyChanges(all.mid(3));
    b.store.applyChanges(all.mid(3));
    BOOST_TEST(b.store.version().value() == 0);
    b.store.applyChanges(all.mid(0, 4));
    BOOST_REQUIRE(test::waitFor([&] { return b.store.version().value() == 5; }));
    b.store.applyChanges(all);
    b.store.applyDocument(ConfigurationVersion(2), smallDocument(2));
    test::waitFor([] { return false; }, std::chrono::milliseconds(20));
    BOOST_TEST(b.store.version().value() == 5);
    BOOST_CHECK(b.store.document() == a.store.document());
    BOOST_TEST(std::is_sorted(b.inForce.begin(), b.inForce.end()));
}

BOOST_FIXTURE_TEST_CASE(HistorySaysWhenItReachesBackTooLittle, Fixture)
{
    ConfigurationDaemon a(table, timers);
    ConfigurationDaemon b(table, timers);
    BOOST_REQUIRE(a.load());
    BOOST_REQUIRE(a.submitMany(4));
    b.store.applyDocument(ConfigurationVersion(4), a.store.document());
    BOOST_REQUIRE(test::waitFor([&] { return b.store.version().value() == 4; }));
    BOOST_TEST(a.store.changesAfter(ConfigurationVersion(1))->size() == 3);
    BOOST_TEST(a.store.changesAfter(ConfigurationVersion(4))->isEmpty());
    BOOST_TEST(!b.store.changesAfter(ConfigurationVersion(1)));
}
