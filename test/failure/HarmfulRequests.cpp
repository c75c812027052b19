// Tests that a request which crashes the targets that run it is not sent on and on.
#define BOOST_TEST_MODULE HarmfulRequests
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "support/HarmfulSite.h"

#include <string>
#include <vector>

using namespace cranberry;
using standin::CrashForm;
using standin::CrashingTargets;
using test::changed;
using test::HarmfulShape;
using test::HarmfulSite;
using test::HarmfulTraffic;
using test::PlannedRequest;
using test::withForm;
namespace data = boost::unit_test::data;

namespace {

/// Bounds of the platform's rule: runs that begin later than this after the third crash.
constexpr Milliseconds StableTime{3000};
constexpr int MaxLateRuns = 3;
constexpr int MaxCrashes = 3;
/// One caller in this many sends the body that other callers send as well.
constexpr int PopularEvery = 2;

const HarmfulShape Refusing = withForm("refuse", CrashForm::Refuse);
const HarmfulShape Silent = withForm("silent", CrashForm::Silent);

const std::vector<HarmfulShape> Shapes{
    Refusing,
    withForm("reset", CrashForm::Reset),
    Silent,
    changed(Refusing, "refuse, same id",
            [](HarmfulShape &shape) {
                shape.behaviour = {CrashForm::Refuse, Milliseconds(1500), true};
            }),
    changed(Silent, "silent, same id",
            [](HarmfulShape &shape) {
                shape.behaviour = {CrashForm::Silent, Milliseconds(5000), true};
            }),
    changed(Silent, "silent, callers leave",
            [](HarmfulShape &shape) { shape.patience = Milliseconds(150); }),
    changed(Refusing, "daemons killed",
            [](HarmfulShape &shape) { shape.killsFrom = Milliseconds(2000); }),
    changed(Refusing, "others crash, 16 daemons",
            [](HarmfulShape &shape) {
                shape.daemons = 16;
                shape.others = 3;
            }),
    changed(Refusing, "faulty targets", [](HarmfulShape &shape) { shape.areTargetsFaulty = true; }),
    changed(Refusing, "two of each kind", [](HarmfulShape &shape) { shape.harms = 2; }),
    changed(Refusing, "a daemon partitioned",
            [](HarmfulShape &shape) { shape.isPartitioned = true; }),
    changed(Silent, "a daemon stopped", [](HarmfulShape &shape) { shape.isStopped = true; }),
    changed(Refusing, "store away", [](HarmfulShape &shape) { shape.isStoreAway = true; }),
};

PlannedRequest ordinaryRequest(const QByteArray &id)
{
    const int number = id.mid(1).toInt();
    PlannedRequest request;
    request.path = number % 4 < 2 ? "/safe/a" : "/unsafe/a";
    request.body = number % PopularEvery == 0 ? "popular" : "body of " + id;
    return request;
}

QList<PlannedRequest> harmfulRequests(int harms)
{
    QList<PlannedRequest> requests;
    for (const char *kind : {"safe", "unsafe"}) {
        for (int harm = 0; harm < harms; ++harm) {
            PlannedRequest request;
            request.path = QByteArray("/") + kind + "/a";
            request.body = QByteArray(CrashingTargets::HarmfulPrefix) + '-' + kind + '-'
                + QByteArray::number(harm);
            requests.append(request);
        }
    }
    return requests;
}

HarmfulTraffic traffic()
{
    HarmfulTraffic traffic;
    traffic.ordinary = [](const QByteArray &id, std::mt19937 &) { return ordinaryRequest(id); };
    traffic.harmful = [](int harms, std::mt19937 &) { return harmfulRequests(harms); };
    return traffic;
}

} // namespace

BOOST_DATA_TEST_CASE(TheyCrashThreeTargetsAtMost, data::make(Shapes))
{
    // Guards against a request that crashes its targets being sent to one target after another.
    HarmfulSite site(sample, traffic());
    site.run();
    for (const auto &[body, runs] : site.targets().harmful()) {
        BOOST_TEST_CONTEXT(sample << ", " << body.toStdString())
        {
            const int late = runs.lateRuns(StableTime);
            BOOST_TEST_MESSAGE(sample << ", " << body.toStdString() << ": " << runs.begun.size()
                                      << " runs, " << runs.crashes.size() << " crashes, " << late
                                      << " late runs");
            BOOST_TEST(late <= MaxLateRuns);
            BOOST_TEST(int(runs.crashes.size()) <= MaxCrashes);
        }
    }
    BOOST_TEST_MESSAGE(sample << ": " << site.targets().crashed() << " targets crashed, "
                              << site.served() << " of " << site.ordinary().size() << " served, "
                              << site.quarantined() << " quarantined");
    BOOST_TEST(int(site.targets().harmful().size()) == 2 * sample.harms);
    BOOST_TEST(site.quarantined() == 0);
    BOOST_TEST(site.checks().broken().join(u'\n').toStdString() == "");
}
