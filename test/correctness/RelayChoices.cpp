// The decisions of a relaying daemon that need no process: routes, targets, retries.
#define BOOST_TEST_MODULE RelayChoices
#include <boost/test/unit_test.hpp>

#include "relay/OutputForecast.h"
#include "relay/RelayConfiguration.h"
#include "relay/RelayRequest.h"
#include "relay/TargetChoice.h"
#include "relay/TargetRecord.h"

using namespace cranberry;
using namespace std::chrono_literals;

namespace {

const MonotonicTime Now{1h};
const ServiceId Service(QStringLiteral("s"));

RelayRoute routeOf(const char *prefix)
{
    RelayRoute route;
    route.host = "h";
    route.prefix = prefix;
    return route;
}

TargetRecord engine(const char *id, const char *dataCentre, qint64 tokens)
{
    TargetRecord record;
    record.entry.id = TargetId(QString::fromLatin1(id));
    record.entry.dataCentre = DataCentreId(QString::fromLatin1(dataCentre));
    record.ownTokens = Tokens(tokens);
    return record;
}

TargetNeed needOf(qint64 tokens)
{
    TargetNeed need;
    need.dataCentre = DataCentreId(QStringLiteral("here"));
    need.tokens = Tokens(tokens);
    need.engine = EngineTraits();
    need.engine->memory = Tokens(10000);
    need.engine->batchSlots = 100;
    need.distance.otherDataCentre = 0.15;
    return need;
}

RelayRequest announcing(qint64 tokens)
{
    RelayRequest request;
    request.maxOutput = Tokens(1768);
    request.expectedOutput = Tokens(tokens);
    return request;
}

} // namespace

BOOST_AUTO_TEST_CASE(LongestPrefixWins)
{
    RelayConfiguration configuration;
    configuration.routes["h"] = {routeOf("/"), routeOf("/a/b/"), routeOf("/a/")};
    sortRoutes(configuration);
    BOOST_TEST((findRoute(configuration, "h", "/a/b/c?x=/z/")->prefix == "/a/b/"));
    BOOST_TEST((findRoute(configuration, "h", "/a/c")->prefix == "/a/"));
    BOOST_TEST((findRoute(configuration, "h", "/a")->prefix == "/"));
    BOOST_TEST((findRoute(configuration, "other", "/a/") == nullptr));
}

BOOST_AUTO_TEST_CASE(SharesFollowTheirWeights)
{
    RelayRoute route;
    route.services = {{ServiceId(QStringLiteral("a")), 90}, {ServiceId(QStringLiteral("b")), 10}};
    int toB = 0;
    for (int i = 0; i < 10000; ++i) {
        const RequestId id(QStringLiteral("request %1").arg(i));
        toB += serviceFor(route, id).text() == QStringLiteral("b") ? 1 : 0;
    }
    BOOST_TEST(toB > 800);
    BOOST_TEST(toB < 1200);
}

BOOST_AUTO_TEST_CASE(LeastLoadedEngineIsChosen)
{
    const TargetRecord full = engine("full", "here", 8000);
    const TargetRecord free = engine("free", "here", 2000);
    BOOST_TEST((chooseTarget({&full, &free}, needOf(1000), Now).target == &free));
}

// Peers' requests count as the own ones do: daemons that knew only their own all chose the same
// engine, and first events came up to 2.9 s late.
BOOST_AUTO_TEST_CASE(RequestsOfPeersCount)
{
    TargetRecord busy = engine("busy", "here", 0);
    busy.peers.insert(VmId(QStringLiteral("p")), {5, Tokens(7000), Tokens(0), Tokens(0), Now});
    const TargetRecord own = engine("own", "here", 3000);
    BOOST_TEST((chooseTarget({&busy, &own}, needOf(1000), Now).target == &own));
    BOOST_TEST((chooseTarget({&busy, &own}, needOf(1000), Now + 10s).target == &busy));
}

BOOST_AUTO_TEST_CASE(PromptsThatAreNotReadCount)
{
    TargetRecord reading = engine("reading", "here", 2000);
    reading.ownUnread = Tokens(6000);
    const TargetRecord other = engine("other", "here", 4000);
    BOOST_TEST((chooseTarget({&reading, &other}, needOf(1000), Now).target == &other));
}

BOOST_AUTO_TEST_CASE(DistanceCostsLessThanLoad)
{
    const TargetRecord near = engine("near", "here", 1000);
    const TargetRecord far = engine("far", "there", 0);
    const TargetRecord busy = engine("busy", "here", 6000);
    BOOST_TEST((chooseTarget({&near, &far}, needOf(1000), Now).target == &near));
    BOOST_TEST((chooseTarget({&busy, &far}, needOf(1000), Now).target == &far));
}

BOOST_AUTO_TEST_CASE(SuspectsAreTheLastChoice)
{
    TargetRecord suspect = engine("suspect", "here", 0);
    suspect.suspectUntil = Now + 1s;
    const TargetRecord busy = engine("busy", "here", 9000);
    BOOST_TEST((chooseTarget({&suspect, &busy}, needOf(1000), Now).target == &busy));
    BOOST_TEST((chooseTarget({&suspect}, needOf(1000), Now).target == &suspect));
    BOOST_TEST((chooseTarget({}, needOf(1000), Now).target == nullptr));
}

// An engine that said that it is full is left out for a moment, also when its forecast is low.
BOOST_AUTO_TEST_CASE(FullEngineIsLeftOut)
{
    TargetRecord full = engine("full", "here", 0);
    full.fullUntil = Now + 100ms;
    const TargetRecord busy = engine("busy", "here", 8000);
    BOOST_TEST((chooseTarget({&full, &busy}, needOf(1000), Now).target == &busy));
    BOOST_TEST((chooseTarget({&full, &busy}, needOf(1000), Now + 200ms).target == &full));
    BOOST_TEST((chooseTarget({&full}, needOf(1000), Now).target == nullptr));
}

// All daemons sent their waiting prompts to an engine in the moment it joined; four of ten began
// late there. Prompts that could not begin on time are kept back.
BOOST_AUTO_TEST_CASE(LongQueueOfPromptsIsAvoided)
{
    TargetRecord reading = engine("reading", "here", 0);
    reading.ownUnread = Tokens(5000);
    TargetNeed need = needOf(1000);
    need.prompt = Tokens(1000);
    need.unreadLimit = Tokens(5000);
    BOOST_TEST((chooseTarget({&reading}, need, Now).target == nullptr));
    reading.ownUnread = Tokens(3000);
    BOOST_TEST((chooseTarget({&reading}, need, Now).target == &reading));
    // One that has just started reads half as fast.
    reading.coldUntil = Now + 1000ms;
    BOOST_TEST((chooseTarget({&reading}, need, Now).target == nullptr));
}

BOOST_AUTO_TEST_CASE(NewEngineIsTakenIntoUseByAndBy)
{
    TargetRecord fresh = engine("fresh", "here", 0);
    fresh.firstUseAfter = Now + 300ms;
    TargetNeed need = needOf(1000);
    // A generation that moves has no prompt to read and may use it at once.
    BOOST_TEST((chooseTarget({&fresh}, need, Now).target == &fresh));
    need.unreadLimit = Tokens(4000);
    BOOST_TEST((chooseTarget({&fresh}, need, Now).target == nullptr));
    BOOST_TEST((chooseTarget({&fresh}, need, Now + 300ms).target == &fresh));
}

// What callers announce spreads far more than what they get.
BOOST_AUTO_TEST_CASE(AnnouncedLengthsAreTakenHalfSeriously)
{
    const OutputForecast model;
    const QString route(QStringLiteral("r"));
    const qint64 low = model.expected(route, announcing(60)).value();
    const qint64 high = model.expected(route, announcing(4000)).value();
    BOOST_TEST(low > 200);
    BOOST_TEST(low < 320);
    BOOST_TEST(high > 1000);
    BOOST_TEST(high < 1500);
}

BOOST_AUTO_TEST_CASE(ForecastFollowsTheAnswersOfARoute)
{
    OutputForecast model;
    const QString route(QStringLiteral("r"));
    const Tokens before = model.expected(route, announcing(400));
    for (int i = 0; i < 40; ++i)
        model.recordAnswer(route, Tokens(40));
    BOOST_TEST((model.expected(route, announcing(400)) < before));
    BOOST_TEST((model.expected(QStringLiteral("other"), announcing(400)) == before));
}

BOOST_AUTO_TEST_CASE(ForecastStaysWithinWhatIsAllowed)
{
    OutputForecast model;
    const QString route(QStringLiteral("r"));
    for (int i = 0; i < 40; ++i)
        model.recordAnswer(route, Tokens(1000000));
    BOOST_TEST((model.expected(route, announcing(4000)) == Tokens(1768)));
    BOOST_TEST((model.expected(route, RelayRequest()) == Tokens(1)));
}

// An engine started in another data centre, and for half a second all daemons there knew that it
// was empty and nothing else: prompts for two seconds went to it at once. With four engines drawn
// for each request it gets its share.
BOOST_AUTO_TEST_CASE(ManyDaemonsDoNotChooseTheSameEngineElsewhere)
{
    constexpr int Engines = 48;
    constexpr int Daemons = 150;
    QList<TargetRecord> records;
    for (int i = 0; i < Engines; ++i)
        records.append(engine(qPrintable(QStringLiteral("e%1").arg(i)), "there", 5000));
    records.first().ownTokens = Tokens(0);
    QList<const TargetRecord *> targets;
    for (const TargetRecord &record : std::as_const(records))
        targets.append(&record);
    const auto chosen = [&](int maxRemoteCandidates) {
        TargetNeed need = needOf(1000);
        need.daemonDataCentre = need.dataCentre;
        need.distance.maxRemoteCandidates = maxRemoteCandidates;
        int count = 0;
        for (int daemon = 0; daemon < Daemons; ++daemon)
            count += chooseTarget(targets, need, Now).target == targets.first() ? 1 : 0;
        return count;
    };
    BOOST_TEST(chosen(0) == Daemons);
    // 12.5 on average; 40 is eight standard deviations more.
    BOOST_TEST(chosen(4) < 40);
}

// A very large data centre tells of its emptiest engines only. One that it does not tell of looks
// empty, and is taken if there is no other.
BOOST_AUTO_TEST_CASE(EngineThatNobodyTellsOfIsTakenLast)
{
    TargetRecord unknown = engine("unknown", "there", 0);
    TargetRecord told = engine("told", "there", 6000);
    told.ownerReportedAt = Now - 1s;
    TargetNeed need = needOf(1000);
    need.daemonDataCentre = need.dataCentre;
    need.distance.unreported = 1;
    BOOST_TEST((chooseTarget({&unknown, &told}, need, Now).target == &told));
    BOOST_TEST((chooseTarget({&unknown}, need, Now).target == &unknown));
    unknown.entry.dataCentre = need.daemonDataCentre;
    BOOST_TEST((chooseTarget({&unknown, &told}, need, Now).target == &unknown));
}

// Guards against a target that rejects requests at once and looks idle by its load.
BOOST_AUTO_TEST_CASE(ATargetThatRejectedIsChosenLast)
{
    TargetRecord rejecting = engine("rejecting", "here", 0);
    rejecting.avoidedUntil = Now + 100ms;
    const TargetRecord busy = engine("busy", "here", 8000);
    const TargetNeed need = needOf(100);
    const auto chosen = [&](const QList<const TargetRecord *> &targets, MonotonicTime at) {
        return chooseTarget(targets, need, at).target;
    };
    BOOST_TEST((chosen({&rejecting, &busy}, Now) == &busy));
    BOOST_TEST((chosen({&rejecting}, Now) == &rejecting));
    BOOST_TEST((chosen({&rejecting, &busy}, Now + 100ms) == &rejecting));
}
