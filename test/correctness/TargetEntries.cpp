// What a daemon makes of the entries of targets that start again, and of foreign ones.
#define BOOST_TEST_MODULE TargetEntries
#include <boost/test/unit_test.hpp>

#include "relay/RelayCounters.h"
#include "relay/StoreProtocol.h"
#include "relay/TargetDirectory.h"
#include "relay/TargetEntries.h"
#include "support/ManualTimers.h"

using namespace cranberry;

namespace {

const QString Key = QStringLiteral("targets/e");

/// An entry is "START" or "START leaving"; anything else cannot be read.
Result<RelayTarget> readEntry(const QString &, const QByteArray &value)
{
    bool isNumber = false;
    const qint64 born = value.split(' ').first().toLongLong(&isNumber);
    if (!isNumber)
        return Error();
    RelayTarget target;
    target.id = TargetId(QStringLiteral("e@%1").arg(born));
    target.incarnation = Incarnation(born);
    target.service = ServiceId(QStringLiteral("s"));
    target.isLeaving = value.endsWith("leaving");
    return target;
}

struct Fixture {
    Fixture()
    {
        protocol.readTarget = readEntry;
        targets.onLost([this](const TargetId &target) { lost.append(target.text()); });
        targets.onCrashed([this](const TargetId &target) { crashed.append(target.text()); });
    }

    QStringList usable() const
    {
        QStringList ids;
        for (const TargetRecord *record : targets.takingWork(ServiceId(QStringLiteral("s"))))
            ids.append(record->entry.id.text());
        return ids;
    }

    test::ManualTimers timers;
    StoreProtocol protocol;
    RelayCounters counters;
    TargetDirectory targets{timers};
    TargetEntries entries{protocol, targets, counters};
    QStringList lost;
    QStringList crashed;
};

EngineReport reportOf(qint64 born)
{
    EngineReport report;
    report.incarnation = Incarnation(born);
    report.isLeaving = true;
    return report;
}

} // namespace

BOOST_FIXTURE_TEST_CASE(NewStartReplacesTheFormerOne, Fixture)
{
    entries.put(Key, "1");
    const TargetId former(QStringLiteral("e@1"));
    targets.requestPlaced(former, Tokens(5000));
    targets.recordFailure(former, "broken");
    entries.put(Key, "2");
    BOOST_TEST((usable() == QStringList{"e@2"}));
    BOOST_TEST((lost == QStringList{"e@1"}));
    BOOST_TEST((crashed == QStringList{"e@1"}));
    const TargetRecord *record = targets.find(TargetId(QStringLiteral("e@2")));
    BOOST_REQUIRE(record);
    BOOST_TEST(record->ownRunning == 0);
    BOOST_TEST(record->consecutiveFailures == 0);
    // A request of the former start ends; it was never at the new one.
    targets.requestEnded(former, Tokens(5000));
    BOOST_TEST(targets.find(TargetId(QStringLiteral("e@2")))->ownRunning == 0);
    BOOST_TEST(!targets.find(former));
}

// The store's answers may come late: an entry that the former start wrote is read after the new
// one's. It must not take the new one's place.
BOOST_FIXTURE_TEST_CASE(LateEntryChangesNothing, Fixture)
{
    entries.put(Key, "2");
    entries.put(Key, "1 leaving");
    BOOST_TEST((usable() == QStringList{"e@2"}));
    BOOST_TEST(lost.isEmpty());
}

BOOST_FIXTURE_TEST_CASE(ReportOfAnotherStartIsNotThisOnes, Fixture)
{
    entries.put(Key, "2");
    targets.recordReport(TargetId(QStringLiteral("e@2")), reportOf(1));
    BOOST_TEST((usable() == QStringList{"e@2"}));
    // A newer start answers before its entry is known: what ran at the former one is lost.
    targets.recordReport(TargetId(QStringLiteral("e@2")), reportOf(3));
    BOOST_TEST((lost == QStringList{"e@2"}));
    BOOST_TEST(usable().isEmpty());
}

// The entries of a deployment name no start and the reports do. The daemon would take each report
// for that of a later start and give up all streams there.
BOOST_FIXTURE_TEST_CASE(ReportIsOfTheEntryWithoutAStart, Fixture)
{
    entries.put(Key, "0");
    EngineReport report = reportOf(5);
    report.isLeaving = false;
    targets.recordReport(TargetId(QStringLiteral("e@0")), report);
    BOOST_TEST((usable() == QStringList{"e@0"}));
    BOOST_TEST(lost.isEmpty());
}

BOOST_FIXTURE_TEST_CASE(UnreadableEntryIsNoCrash, Fixture)
{
    entries.put(Key, "1");
    entries.put(Key, "junk");
    BOOST_TEST(counters.unreadableEntries == 1);
    BOOST_TEST(usable().isEmpty());
    BOOST_TEST(lost.isEmpty());
    entries.put(Key, "1");
    BOOST_TEST((usable() == QStringList{"e@1"}));
    entries.put(Key, "junk");
    entries.remove(Key);
    BOOST_TEST(crashed.isEmpty());
}

// Guards against a target that said that it leaves and is used again as its entry returns.
BOOST_FIXTURE_TEST_CASE(AnEntryThatReturnsDoesNotEndLeaving, Fixture)
{
    const TargetId leaving(QStringLiteral("e@1"));
    targets.setHasSaidLeaving([&](const TargetId &target) { return target == leaving; });
    entries.put(Key, "1");
    BOOST_TEST(usable().isEmpty());
    entries.remove(Key);
    entries.put(Key, "1");
    BOOST_TEST(usable().isEmpty());
    entries.put(Key, "2");
    BOOST_TEST((usable() == QStringList{QStringLiteral("e@2")}));
}

// Guards against a target that rejects each request and is tried at the same rate all the time.
BOOST_FIXTURE_TEST_CASE(RejectionsInARowAreAvoidedForLonger, Fixture)
{
    entries.put(Key, "1");
    const TargetId target(QStringLiteral("e@1"));
    const auto avoidedFor = [&] {
        targets.recordRejection(target);
        return std::chrono::duration_cast<Milliseconds>(targets.find(target)->avoidedUntil
                                                        - timers.now())
            .count();
    };
    for (const int expected : {100, 200, 400, 800, 1600, 1600})
        BOOST_TEST(avoidedFor() == expected);
    targets.recordSuccess(target);
    BOOST_TEST(!targets.find(target)->isSuspect(timers.now()));
    BOOST_TEST(avoidedFor() == 100);
}
