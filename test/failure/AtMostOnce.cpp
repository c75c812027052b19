// Requests that must run at most once, through kills, pauses, races and platform faults.
#define BOOST_TEST_MODULE AtMostOnce
#include <boost/test/unit_test.hpp>

#include "support/EventLoop.h"
#include "support/Fleet.h"
#include "support/FleetStream.h"

using namespace cranberry;
using namespace cranberry::test;

namespace {

using Stream = std::unique_ptr<FleetStream>;

constexpr int ShortAnswer = 4;

struct Fixture {
    Fixture()
    {
        ensureApplication();
        FleetPlan plan;
        plan.daemons = 3;
        plan.engines = 2;
        fleet.emplace(plan);
        BOOST_REQUIRE(fleet->start());
    }

    HttpHeaders onceHeaders(const QString &key) const
    {
        HttpHeaders headers = fleet->caller();
        headers.add("Idempotency-Key", key.toUtf8());
        headers.add("Cranberry-Idempotent", "no");
        return headers;
    }

    Stream sendOnce(int daemon, const QString &name, int maxTokens = ShortAnswer)
    {
        return fleet->complete(daemon, promptOfName(name), maxTokens, onceHeaders(name));
    }

    static QString promptOfName(const QString &name) { return QStringLiteral("prompt of ") + name; }

    int runsOfName(const QString &name) { return fleet->runsOf(promptOfName(name)); }

    static QString ranOf(const FleetStream &stream) { return stream.json()["ran"].toString(); }

    std::optional<Fleet> fleet;
};

} // namespace

BOOST_FIXTURE_TEST_CASE(SameKeyAtTwoDaemonsInTheSameInstantRunsOnce, Fixture)
{
    // A clinic gets one allergy alert twice: its client, impatient, sends the alert to two entry
    // VMs in the same instant, and neither knows of the other. Both compare and swap the same
    // shard; one wins, and the other is told who holds the key, or joins its answer.
    constexpr int Pairs = 200;
    constexpr int AtOnce = 20;
    for (int first = 0; first < Pairs; first += AtOnce) {
        std::vector<Stream> streams;
        for (int i = first; i < first + AtOnce; ++i) {
            const QString name = QStringLiteral("pair%1").arg(i);
            streams.push_back(sendOnce(i % 3, name));
            streams.push_back(sendOnce((i + 1) % 3, name));
        }
        for (const Stream &stream : streams)
            BOOST_REQUIRE(stream->waitOver());
        for (int i = 0; i < AtOnce; ++i) {
            const FleetStream &one = *streams[2 * size_t(i)];
            const FleetStream &other = *streams[2 * size_t(i) + 1];
            BOOST_TEST((one.isWhole() || other.isWhole()));
            for (const FleetStream *stream : {&one, &other})
                BOOST_TEST((stream->isWhole()
                            || stream->problemKind() == QLatin1String("outcome_unknown")));
            BOOST_TEST(runsOfName(QStringLiteral("pair%1").arg(first + i)) == 1);
        }
    }
}

BOOST_FIXTURE_TEST_CASE(KeySentAgainAfterItsDaemonDiedDoesNotRunAgain, Fixture)
{
    // A recap goes out twice with conflicting terms: the entry VM dies while the recap streams,
    // the broker's client sends it again with the same key, and another VM, which has never
    // heard of it, runs it anew. The claim in the platform's service outlives the VM.
    const QString name = QStringLiteral("recap");
    const Stream first = sendOnce(0, name, 400);
    BOOST_REQUIRE(first->waitForTokens(1));
    fleet->daemon(0).kill();
    const Stream second = sendOnce(1, name, 400);
    BOOST_REQUIRE(second->waitOver());
    BOOST_TEST(second->status() == 409);
    BOOST_TEST(second->problemKind().toStdString() == "outcome_unknown");
    BOOST_TEST(ranOf(*second).toStdString() == "maybe");
    BOOST_TEST(runsOfName(name) == 1);
}

BOOST_FIXTURE_TEST_CASE(PlatformDownRefusesOnceAndServesTheRest, Fixture)
{
    // The platform's service is down all morning. A request that must run at most once cannot
    // be claimed, so it is refused at once, truly not run, and told when to come again; a draft
    // that may run twice does not need the service and is served.
    const QString name = QStringLiteral("alert");
    BOOST_REQUIRE(fleet->setFaults(fleet->platformEndpoint(), {{QStringLiteral("down"), true}}));
    const Stream refused = sendOnce(0, name);
    const Stream served = fleet->complete(0, QStringLiteral("draft"), ShortAnswer, fleet->caller());
    BOOST_REQUIRE(refused->waitOver());
    BOOST_REQUIRE(served->waitOver());
    BOOST_TEST(refused->status() == 503);
    BOOST_TEST(refused->problemKind().toStdString() == "platform_unavailable");
    BOOST_TEST(ranOf(*refused).toStdString() == "no");
    BOOST_TEST(refused->response().headers.contains("Retry-After"));
    BOOST_TEST(served->isWhole());
    BOOST_TEST(runsOfName(name) == 0);
    BOOST_REQUIRE(fleet->setFaults(fleet->platformEndpoint(), {{QStringLiteral("down"), false}}));
}

BOOST_FIXTURE_TEST_CASE(LostAnswerOfTheClaimIsSettledNotRepeated, Fixture)
{
    // The claim is written and its answer is lost on the way. Taken for a failure, the caller
    // would be told "not run" while its key is gone for a day; taken for nothing, a second
    // attempt would find its own claim and think it another's. The re-read finds the attempt id.
    const QString name = QStringLiteral("settled");
    BOOST_REQUIRE(
        fleet->setFaults(fleet->platformEndpoint(),
                         {{QStringLiteral("lose_answers"), 1},
                          {QStringLiteral("lose_answers_under"), QStringLiteral("claims/")}}));
    const Stream stream = sendOnce(0, name);
    BOOST_REQUIRE(stream->waitOver());
    BOOST_TEST(stream->isWhole());
    BOOST_TEST(runsOfName(name) == 1);
}

BOOST_FIXTURE_TEST_CASE(PausedDaemonNeitherBlocksNorRepeats, Fixture)
{
    // One daemon gathers the claims of a third of the shards and is paused. The others must not
    // wait for it, and when it wakes it must not write what it had gathered over theirs: each
    // key, sent again through it, has run once.
    constexpr int Keys = 30;
    const auto nameOf = [](int i) { return QStringLiteral("paused%1").arg(i); };
    fleet->daemon(2).pause();
    std::vector<Stream> streams;
    streams.reserve(Keys);
    for (int i = 0; i < Keys; ++i)
        streams.push_back(sendOnce(i % 2, nameOf(i)));
    for (const Stream &stream : streams) {
        BOOST_REQUIRE(stream->waitOver());
        BOOST_TEST(stream->isWhole());
    }
    fleet->daemon(2).resume();
    for (int i = 0; i < Keys; ++i) {
        const Stream again = sendOnce(2, nameOf(i));
        BOOST_REQUIRE(again->waitOver());
        BOOST_TEST(runsOfName(nameOf(i)) == 1);
    }
}

BOOST_FIXTURE_TEST_CASE(SecondSenderAtTheSameDaemonGetsTheSameAnswer, Fixture)
{
    // The caller's connection broke and its client asks again with the same key: it gets the
    // answer of the one run, from its first token on, and not a second run or a refusal.
    const QString name = QStringLiteral("again");
    const Stream first = sendOnce(0, name);
    BOOST_REQUIRE(first->waitOver());
    const Stream second = sendOnce(0, name);
    BOOST_REQUIRE(second->waitOver());
    BOOST_TEST(second->isWhole());
    BOOST_CHECK(first->answer().texts() == second->answer().texts());
    BOOST_TEST(runsOfName(name) == 1);
}

BOOST_FIXTURE_TEST_CASE(KeyWithOtherContentIsRefused, Fixture)
{
    // Two alerts share a key by mistake. Answering the second with the first one's text would
    // warn of the wrong pollen.
    const Stream first = sendOnce(0, QStringLiteral("shared"));
    BOOST_REQUIRE(first->waitOver());
    for (int daemon : {0, 1}) {
        const Stream other = fleet->complete(daemon, QStringLiteral("another text"), ShortAnswer,
                                             onceHeaders(QStringLiteral("shared")));
        BOOST_REQUIRE(other->waitOver());
        BOOST_TEST(other->status() == 422);
        BOOST_TEST(other->problemKind().toStdString() == "idempotency_key_reused");
    }
    BOOST_TEST(fleet->runsOf(QStringLiteral("another text")) == 0);
}

BOOST_FIXTURE_TEST_CASE(RequestThatMustRunOnceNeedsAKey, Fixture)
{
    HttpHeaders headers = fleet->caller();
    headers.add("Cranberry-Idempotent", "no");
    const Stream stream = fleet->complete(0, QStringLiteral("keyless"), ShortAnswer, headers);
    BOOST_REQUIRE(stream->waitOver());
    BOOST_TEST(stream->status() == 400);
    BOOST_TEST(stream->problemKind().toStdString() == "idempotency_key_required");
    BOOST_TEST(fleet->runsOf(QStringLiteral("keyless")) == 0);
}
