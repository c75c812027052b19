// Tests that requests which share a harmful part of their prompts are not sent on and on, and that
// sound requests which share their other parts still begin.
#define BOOST_TEST_MODULE HarmfulPromptParts
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "support/HarmfulSite.h"

#include <string>
#include <vector>

using namespace cranberry;
using standin::CrashForm;
using standin::CrashingTargets;
using test::HarmfulShape;
using test::HarmfulSite;
using test::HarmfulTraffic;
using test::OrdinaryOutcome;
using test::PlannedRequest;
namespace data = boost::unit_test::data;

namespace {

/// Bounds of the platform's rules.
constexpr Milliseconds StableTime{3000};
constexpr std::size_t CrashesAllowed = 5;
constexpr int MaxLateRuns = 3;
constexpr double MinShareBegun = 0.5;
constexpr int MinCounted = 20;

constexpr Milliseconds ReadingTime{150};
constexpr int FirstParts = 8;
constexpr int SecondParts = 12;

/// How requests with a harmful part arrive, and what happens beside them.
struct PartShape {
    HarmfulShape site;
    Milliseconds ordinaryInterval{25};
    Milliseconds harmfulInterval{333};
    Milliseconds warmUp{1500};
    Milliseconds duration{13'000};
    /// The harmful part is the first one instead of the second.
    bool isHarmFirst = false;
    bool isHarmAtOneDaemon = false;
    bool isPlain = false;
    int firstParts = FirstParts;
};

std::ostream &operator<<(std::ostream &out, const PartShape &shape)
{
    return out << shape.site;
}

template <typename Change>
PartShape shapeOf(const char *name, CrashForm form, Change change)
{
    PartShape shape;
    shape.site = test::withForm(name, form);
    change(shape);
    return shape;
}

PartShape shapeOf(const char *name, CrashForm form)
{
    return shapeOf(name, form, [](PartShape &) {});
}

const std::vector<PartShape> Shapes{
    shapeOf("refuse", CrashForm::Refuse),
    shapeOf("reset", CrashForm::Reset),
    shapeOf("silent", CrashForm::Silent),
    shapeOf("refuse, same id", CrashForm::Refuse,
            [](PartShape &shape) {
                shape.site.behaviour = {CrashForm::Refuse, Milliseconds(1500), true};
            }),
    shapeOf("silent, same id", CrashForm::Silent,
            [](PartShape &shape) {
                shape.site.behaviour = {CrashForm::Silent, Milliseconds(5000), true};
            }),
    shapeOf("silent, callers leave", CrashForm::Silent,
            [](PartShape &shape) { shape.site.patience = Milliseconds(300); }),
    shapeOf("first part", CrashForm::Refuse, [](PartShape &shape) { shape.isHarmFirst = true; }),
    shapeOf("silent, rare, one daemon", CrashForm::Silent,
            [](PartShape &shape) {
                shape.harmfulInterval = Milliseconds(1333);
                shape.isHarmAtOneDaemon = true;
                shape.duration = Milliseconds(18'000);
            }),
    shapeOf("others crash", CrashForm::Refuse, [](PartShape &shape) { shape.site.others = 2; }),
    shapeOf("daemons killed", CrashForm::Refuse,
            [](PartShape &shape) { shape.site.killsFrom = Milliseconds(1000); }),
    shapeOf("store away", CrashForm::Refuse,
            [](PartShape &shape) { shape.site.isStoreAway = true; }),
    shapeOf("faulty targets", CrashForm::Refuse,
            [](PartShape &shape) { shape.site.areTargetsFaulty = true; }),
    shapeOf("silent, two parts", CrashForm::Silent, [](PartShape &shape) { shape.site.harms = 2; }),
    shapeOf("16 daemons", CrashForm::Refuse,
            [](PartShape &shape) {
                shape.site.daemons = 16;
                shape.site.targets = 24;
                shape.ordinaryInterval = Milliseconds(11);
                shape.harmfulInterval = Milliseconds(167);
            }),
    shapeOf("sound requests rare", CrashForm::Refuse,
            [](PartShape &shape) {
                shape.ordinaryInterval = Milliseconds(167);
                shape.warmUp = Milliseconds(4500);
                shape.duration = Milliseconds(16'000);
            }),
    shapeOf("silent, one first part, sound requests rare", CrashForm::Silent,
            [](PartShape &shape) {
                shape.ordinaryInterval = Milliseconds(167);
                shape.warmUp = Milliseconds(4500);
                shape.duration = Milliseconds(16'000);
                shape.firstParts = 1;
            }),
    shapeOf("a daemon partitioned", CrashForm::Refuse,
            [](PartShape &shape) { shape.site.isPartitioned = true; }),
    shapeOf("silent, a daemon stopped", CrashForm::Silent,
            [](PartShape &shape) { shape.site.isStopped = true; }),
    shapeOf("plain service", CrashForm::Refuse, [](PartShape &shape) { shape.isPlain = true; }),
};

PlannedRequest requestWith(const PartShape &shape, const QByteArray &first,
                           const QByteArray &second, std::mt19937 &random)
{
    const QByteArray last = "c" + QByteArray::number(quint32(random()), 16);
    PlannedRequest request;
    request.path = shape.isPlain ? "/safe/a" : "/model/a";
    request.body = "prompt " + last;
    if (!shape.isPlain)
        request.headers = test::PlatformSite::generation();
    const HttpHeaders parts = test::PlatformSite::promptParts({first, second, last});
    for (const HttpHeaders::Field &field : parts.fields())
        request.headers.add(field.first, field.second);
    request.tag = first;
    return request;
}

QByteArray firstPart(const PartShape &shape, std::mt19937 &random)
{
    return "a" + QByteArray::number(random() % quint32(shape.firstParts));
}

QByteArray secondPart(std::mt19937 &random)
{
    return "b" + QByteArray::number(random() % SecondParts);
}

HarmfulTraffic trafficOf(const PartShape &shape)
{
    HarmfulTraffic traffic;
    traffic.service = shape.isPlain ? "plain" : "model";
    traffic.ordinaryInterval = shape.ordinaryInterval;
    traffic.harmfulInterval = shape.harmfulInterval;
    traffic.warmUp = shape.warmUp;
    traffic.duration = shape.duration;
    traffic.isHarmAtOneDaemon = shape.isHarmAtOneDaemon;
    traffic.ordinary = [shape](const QByteArray &id, std::mt19937 &random) {
        const QByteArray first = firstPart(shape, random);
        PlannedRequest request = requestWith(shape, first, secondPart(random), random);
        if (shape.isPlain)
            request.body = "body of " + id;
        return request;
    };
    traffic.harmful = [shape](int harms, std::mt19937 &random) {
        QList<PlannedRequest> requests;
        for (int harm = 0; harm < harms; ++harm) {
            const QByteArray part = CrashingTargets::HarmfulPart + QByteArray::number(harm);
            requests.append(shape.isHarmFirst
                                ? requestWith(shape, part, secondPart(random), random)
                                : requestWith(shape, firstPart(shape, random), part, random));
        }
        return requests;
    };
    return traffic;
}

struct Begun {
    int requests = 0;
    int begun = 0;

    double share() const { return requests == 0 ? 0 : double(begun) / double(requests); }
};

Begun begunBetween(const HarmfulSite &site, MonotonicTime from, MonotonicTime until)
{
    Begun result;
    for (const OrdinaryOutcome &outcome : site.ordinary()) {
        if (outcome.sentAt < from || outcome.sentAt >= until)
            continue;
        ++result.requests;
        result.begun += outcome.hasBegun ? 1 : 0;
    }
    return result;
}

/// The time of the fifth crash, or the last if there are fewer; the latest of all harmful parts.
MonotonicTime boundedFrom(HarmfulSite &site)
{
    MonotonicTime time = site.harmFrom();
    for (const auto &[part, runs] : site.targets().harmful()) {
        if (!runs.crashes.empty())
            time = std::max(time, runs.crashes[std::min(runs.crashes.size(), CrashesAllowed) - 1]);
    }
    return time;
}

} // namespace

BOOST_DATA_TEST_CASE(TheyAreHeldBackAfterFiveCrashes, data::make(Shapes))
{
    // Guards against requests that share a harmful part, no two alike, crashing target after
    // target.
    HarmfulSite site(sample.site, trafficOf(sample));
    site.targets().setServiceTime(ReadingTime);
    site.run();
    for (const auto &[part, runs] : site.targets().harmful()) {
        BOOST_TEST_CONTEXT(sample << ", " << part.toStdString())
        {
            const int late = runs.lateRuns(StableTime, CrashesAllowed);
            BOOST_TEST_MESSAGE(sample << ", " << part.toStdString() << ": " << site.harmfulSent()
                                      << " sent, " << runs.begun.size() << " runs, "
                                      << runs.crashes.size() << " crashes, " << late
                                      << " late runs");
            BOOST_TEST(late <= MaxLateRuns);
        }
    }
    const MonotonicTime crashed = boundedFrom(site);
    const Begun before = begunBetween(site, MonotonicTime(), site.harmFrom());
    const Begun meanwhile = begunBetween(site, site.harmFrom(), crashed + 2 * StableTime);
    const Begun later = begunBetween(site, crashed + 2 * StableTime, MonotonicTime::max());
    BOOST_TEST_MESSAGE(sample << ": sound requests begun " << before.share() << " of "
                              << before.requests << " before, " << meanwhile.share() << " of "
                              << meanwhile.requests << " meanwhile, " << later.share() << " of "
                              << later.requests << " later; " << site.quarantined()
                              << " quarantined");
    BOOST_TEST(int(site.targets().harmful().size()) == sample.site.harms);
    BOOST_TEST(before.requests >= MinCounted);
    BOOST_TEST(later.requests >= MinCounted);
    BOOST_TEST(later.share() >= MinShareBegun * before.share());
    BOOST_TEST(site.checks().broken().join(u'\n').toStdString() == "");
}
