// The platform's key-value service as its client sees it, against the stand-in process.
#define BOOST_TEST_MODULE KeyValueService
#include <boost/test/unit_test.hpp>

#include "platformstore/HttpKeyValueStore.h"
#include "support/EventLoop.h"
#include "support/SlowHttpServer.h"
#include "support/StandinProcess.h"
#include "support/StoreCalls.h"

#include <QJsonArray>

using namespace cranberry;

namespace {

struct Fixture {
    test::StandinProcess platform{QStringLiteral("platform")};
    QtTimerService timers;
    HttpKeyValueStore store{timers, platform.endpoint()};
    test::StoreCalls calls{store};
};

constexpr Milliseconds LongWait{60'000};

} // namespace

BOOST_FIXTURE_TEST_CASE(ValuesComeBackAsTheyWereWritten, Fixture)
{
    const QString key = QStringLiteral("a/b c?&=%2F+ü");
    const QByteArray value = "{\"x\":\"\\u0000 \xc3\xbc\"}\n";
    const SwapResult written = calls.swap(key, Revision(0), value);
    BOOST_REQUIRE(written.outcome == SwapOutcome::Swapped);
    const Result<KeyValue> read = calls.read(key);
    BOOST_REQUIRE(read);
    BOOST_CHECK(read.value().key == key);
    BOOST_CHECK(read.value().value == value);
    BOOST_CHECK(read.value().revision == written.revision);
}

BOOST_FIXTURE_TEST_CASE(WriteWithAnotherRevisionIsAConflictThatNamesThePresentOne, Fixture)
{
    const SwapResult first = calls.swap("k", Revision(0), "1");
    const SwapResult again = calls.swap("k", Revision(0), "2");
    BOOST_CHECK(again.outcome == SwapOutcome::Conflict);
    BOOST_CHECK(again.revision == first.revision);
    BOOST_CHECK(calls.swap("k", first.revision, "3").outcome == SwapOutcome::Swapped);
    BOOST_CHECK(calls.remove("k", first.revision).outcome == SwapOutcome::Conflict);
    BOOST_CHECK(calls.read("k").value().value == "3");
}

BOOST_FIXTURE_TEST_CASE(AbsentKeysHaveRevisionZeroAndRemovalBringsThatBack, Fixture)
{
    BOOST_CHECK(calls.read("k").value().revision == Revision(0));
    const SwapResult first = calls.swap("k", Revision(0), "1");
    BOOST_CHECK(calls.remove("k", first.revision).outcome == SwapOutcome::Swapped);
    BOOST_CHECK(calls.read("k").value().revision == Revision(0));
    const SwapResult second = calls.swap("k", Revision(0), "1");
    BOOST_CHECK(second.revision > first.revision);
}

BOOST_FIXTURE_TEST_CASE(ListHoldsWhatIsUnderThePrefixInKeyOrder, Fixture)
{
    for (const char *key : {"p/2", "q/1", "p/10", "p/1"})
        calls.swap(key, Revision(0), key);
    QStringList keys;
    const Result<QList<KeyValue>> entries = calls.list("p/");
    BOOST_REQUIRE(entries);
    for (const KeyValue &entry : entries.value())
        keys.append(entry.key);
    BOOST_CHECK(keys == QStringList({"p/1", "p/10", "p/2"}));
}

BOOST_FIXTURE_TEST_CASE(BytesThatAreNoTextAreNotWritten, Fixture)
{
    BOOST_CHECK(calls.swap("k", Revision(0), "\xff").outcome == SwapOutcome::NotWritten);
    BOOST_CHECK(calls.read("k").value().revision == Revision(0));
}

BOOST_FIXTURE_TEST_CASE(WatchWaitsForAChangeUnderItsPrefix, Fixture)
{
    const SwapResult first = calls.swap("p/1", Revision(0), "1");
    std::optional<Result<QList<KeyValue>>> seen;
    store.watch("p/", first.revision, LongWait, [&](auto result) { seen = result; });
    BOOST_REQUIRE(test::waitFor(
        [&] { return platform.call("GET", "/counts")["waiting_watches"].toInt() == 1; }));
    calls.swap("q/1", Revision(0), "other");
    BOOST_CHECK(!seen);
    calls.swap("p/2", Revision(0), "2");
    BOOST_REQUIRE(test::waitFor([&] { return seen.has_value(); }));
    BOOST_REQUIRE(seen->value().size() == 1);
    BOOST_CHECK(seen->value().first().key == "p/2");
}

BOOST_FIXTURE_TEST_CASE(WatchWithoutAChangeEndsEmpty, Fixture)
{
    std::optional<Result<QList<KeyValue>>> seen;
    store.watch("p/", Revision(0), Milliseconds(1), [&](auto result) { seen = result; });
    BOOST_REQUIRE(test::waitFor([&] { return seen.has_value(); }));
    BOOST_CHECK(seen->value().isEmpty());
}

BOOST_FIXTURE_TEST_CASE(KeysOfALapsedLeaseVanishAndItCannotBeRenewed, Fixture)
{
    const LeaseId lasting = calls.grantLease(LongWait).value();
    const LeaseId brief = calls.grantLease(Milliseconds(30)).value();
    calls.swap("lasting", Revision(0), "x", lasting);
    calls.swap("brief", Revision(0), "x", brief);
    BOOST_REQUIRE(
        test::waitFor([&] { return calls.read("brief").value().revision == Revision(0); }));
    BOOST_CHECK(calls.renewLease(lasting));
    BOOST_CHECK(calls.read("lasting").value().revision > Revision(0));
    const Result<LeaseId> renewed = calls.renewLease(brief);
    BOOST_REQUIRE(!renewed);
    BOOST_CHECK(renewed.error().kind == ErrorKind::OutcomeUnknown);
    BOOST_CHECK(calls.swap("late", Revision(0), "x", brief).outcome == SwapOutcome::NotWritten);
}

BOOST_FIXTURE_TEST_CASE(VmListLags, Fixture)
{
    const QJsonObject vm{{"vm", "v1"},
                         {"data_centre", "d1"},
                         {"address", "127.0.0.1"},
                         {"peer_port", 7},
                         {"leaving", true}};
    platform.setFaults({{"vm_list_lag_ms", 50}});
    platform.call("PUT", "/vms", {{"vms", QJsonArray{vm}}});
    BOOST_REQUIRE(test::waitFor([&] { return calls.listVms().value().size() == 1; }));
    const ListedVm listed = calls.listVms().value().first();
    BOOST_CHECK(listed.vm == "v1");
    BOOST_CHECK(listed.dataCentre == "d1");
    BOOST_CHECK(listed.peerPort == 7);
    BOOST_CHECK(listed.leaving);
}

BOOST_FIXTURE_TEST_CASE(CallsAreCountedByKind, Fixture)
{
    BOOST_CHECK(calls.read("k"));
    calls.swap("k", Revision(0), "1");
    BOOST_CHECK(calls.list(""));
    const QJsonObject counts = platform.call("GET", "/counts");
    BOOST_CHECK(counts["reads"].toInt() == 2);
    BOOST_CHECK(counts["writes"].toInt() == 1);
    BOOST_CHECK(counts["watches"].toInt() == 0);
}

// Guards against aborting a list whose response takes longer than the timeout to transfer although
// data keeps arriving.
BOOST_AUTO_TEST_CASE(SlowListThatMakesProgressCompletes)
{
    test::ensureApplication();
    test::SlowHttpServer server(
        [](const QByteArray &) {
            return "{\"entries\":[],\"padding\":\"" + QByteArray(3000, 'x') + "\"}";
        },
        100, std::chrono::milliseconds(100));
    QtTimerService timers;
    HttpKeyValueStore store(timers, {QStringLiteral("127.0.0.1"), server.port()});
    test::StoreCalls calls(store);
    BOOST_TEST(calls.list(QStringLiteral("prefix/")).has_value());
}
