// Tests that requests run at most once through kills, pauses, races and platform faults.
#define BOOST_TEST_MODULE AtMostOnce
#include <boost/test/unit_test.hpp>

#include "support/EventLoop.h"
#include "support/Fleet.h"
#include "support/FleetStream.h"

using namespace cranberry;
using namespace cranberry::test;

namespace {

using Stream = std::unique_ptr<FleetStream>;

constexpr int ShortAnswerTokens = 4;

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

    HttpHeaders atMostOnceHeaders(const QString &key) const
    {
        HttpHeaders headers = fleet->caller();
        headers.add("Idempotency-Key", key.toUtf8());
        headers.add("Cranberry-Idempotent", "no");
        return headers;
    }

    Stream sendAtMostOnce(int daemon, const QString &name, int maxTokens = ShortAnswerTokens)
    {
        return fleet->complete(daemon, promptOfName(name), maxTokens, atMostOnceHeaders(name));
    }

    static QString promptOfName(const QString &name) { return QStringLiteral("prompt of ") + name; }

    int runsOfName(const QString &name) { return fleet->runsOf(promptOfName(name)); }

    static QString ranOf(const FleetStream &stream) { return stream.json()["ran"].toString(); }

    std::optional<Fleet> fleet;
};

} // namespace

BOOST_FIXTURE_TEST_CASE(SameKeyAtTwoDaemonsInTheSameInstantRunsOnce, Fixture)
{
    // Guards against a request that is executed twice: its client sends it to two entry VMs at the
    // same time, and neither knows of the other. Both compare and swap the same shard; one wins,
    // and the other is told who holds the key, or attaches to its answer.
    constexpr int Pairs = 200;
    constexpr int ConcurrentPairs = 20;
    for (int first = 0; first < Pairs; first += ConcurrentPairs) {
        std::vector<Stream> streams;
        for (int i = first; i < first + ConcurrentPairs; ++i) {
            const QString name = QStringLiteral("pair%1").arg(i);
            streams.push_back(sendAtMostOnce(i % 3, name));
            streams.push_back(sendAtMostOnce((i + 1) % 3, name));
        }
        for (const Stream &stream : streams)
            BOOST_REQUIRE(stream->waitOver());
        for (int i = 0; i < ConcurrentPairs; ++i) {
            const FleetStream &firstOfPair = *streams[2 * size_t(i)];
            const FleetStream &other = *streams[2 * size_t(i) + 1];
            BOOST_TEST((firstOfPair.isWhole() || other.isWhole()));
            for (const FleetStream *stream : {&firstOfPair, &other})
                BOOST_TEST((stream->isWhole()
                            || stream->problemKind() == QLatin1String("outcome_unknown")));
            BOOST_TEST(runsOfName(QStringLiteral("pair%1").arg(first + i)) == 1);
        }
    }
}

BOOST_FIXTURE_TEST_CASE(KeySentAgainAfterItsDaemonDiedDoesNotRunAgain, Fixture)
{
    // Guards against a request that is executed twice: the entry VM dies while the answer streams,
    // and the client sends the request again with the same key through a VM that does not know it.
    // The claim in the platform's store outlives the VM.
    const QString name = QStringLiteral("recap");
    const Stream first = sendAtMostOnce(0, name, 400);
    BOOST_REQUIRE(first->waitForTokens(1));
    fleet->daemon(0).kill();
    const Stream second = sendAtMostOnce(1, name, 400);
    BOOST_REQUIRE(second->waitOver());
    BOOST_TEST(second->status() == 409);
    BOOST_TEST(second->problemKind().toStdString() == "outcome_unknown");
    BOOST_TEST(ranOf(*second).toStdString() == "maybe");
    BOOST_TEST(runsOfName(name) == 1);
}

BOOST_FIXTURE_TEST_CASE(PlatformDownRefusesOnceAndServesTheRest, Fixture)
{
    // The platform's store is down. A request that must run at most once cannot be claimed, so it
    // is refused at once, is reported as not run, which is true, and gets a Retry-After header; a
    // request that may run twice does not need the store and is served.
    const QString name = QStringLiteral("alert");
    BOOST_REQUIRE(fleet->setFaults(fleet->platformEndpoint(), {{QStringLiteral("down"), true}}));
    const Stream refused = sendAtMostOnce(0, name);
    const Stream served =
        fleet->complete(0, QStringLiteral("draft"), ShortAnswerTokens, fleet->caller());
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
    // Guards against a wrong reading of a lost answer: the claim is written, and its answer is
    // lost. Taken for a failure, the caller would be told "not run" while its key stays claimed for
    // a day; taken for no write, a second attempt would find its own claim and take it for
    // another's. A further read finds the attempt id.
    const QString name = QStringLiteral("settled");
    BOOST_REQUIRE(
        fleet->setFaults(fleet->platformEndpoint(),
                         {{QStringLiteral("lose_answers"), 1},
                          {QStringLiteral("lose_answers_under"), QStringLiteral("claims/")}}));
    const Stream stream = sendAtMostOnce(0, name);
    BOOST_REQUIRE(stream->waitOver());
    BOOST_TEST(stream->isWhole());
    BOOST_TEST(runsOfName(name) == 1);
}

BOOST_FIXTURE_TEST_CASE(PausedDaemonNeitherBlocksNorRepeats, Fixture)
{
    // Guards against a paused daemon that blocks the others or overwrites their claims: it batches
    // the claims of a third of the shards and is paused. The others must not wait for it, and when
    // it resumes it must not write its batch over theirs: each key, sent again through it, has run
    // once.
    constexpr int Keys = 30;
    const auto nameOf = [](int i) { return QStringLiteral("paused%1").arg(i); };
    fleet->daemon(2).pause();
    std::vector<Stream> streams;
    streams.reserve(Keys);
    for (int i = 0; i < Keys; ++i)
        streams.push_back(sendAtMostOnce(i % 2, nameOf(i)));
    for (const Stream &stream : streams) {
        BOOST_REQUIRE(stream->waitOver());
        BOOST_TEST(stream->isWhole());
    }
    fleet->daemon(2).resume();
    for (int i = 0; i < Keys; ++i) {
        const Stream repeated = sendAtMostOnce(2, nameOf(i));
        BOOST_REQUIRE(repeated->waitOver());
        BOOST_TEST(runsOfName(nameOf(i)) == 1);
    }
}

BOOST_FIXTURE_TEST_CASE(SecondSenderAtTheSameDaemonGetsTheSameAnswer, Fixture)
{
    // A client whose connection broke sends its request again with the same key: it gets the answer
    // of the one run from the first token on, and neither a second run nor a refusal.
    const QString name = QStringLiteral("again");
    const Stream first = sendAtMostOnce(0, name);
    BOOST_REQUIRE(first->waitOver());
    const Stream second = sendAtMostOnce(0, name);
    BOOST_REQUIRE(second->waitOver());
    BOOST_TEST(second->isWhole());
    BOOST_CHECK(first->answer().texts() == second->answer().texts());
    BOOST_TEST(runsOfName(name) == 1);
}

BOOST_FIXTURE_TEST_CASE(KeyWithOtherContentIsRefused, Fixture)
{
    // Guards against an answer to the wrong request: two different requests share a key by mistake,
    // and the second must not get the first one's answer.
    const Stream first = sendAtMostOnce(0, QStringLiteral("shared"));
    BOOST_REQUIRE(first->waitOver());
    for (int daemon : {0, 1}) {
        const Stream other =
            fleet->complete(daemon, QStringLiteral("another text"), ShortAnswerTokens,
                            atMostOnceHeaders(QStringLiteral("shared")));
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
    const Stream stream = fleet->complete(0, QStringLiteral("keyless"), ShortAnswerTokens, headers);
    BOOST_REQUIRE(stream->waitOver());
    BOOST_TEST(stream->status() == 400);
    BOOST_TEST(stream->problemKind().toStdString() == "idempotency_key_required");
    BOOST_TEST(fleet->runsOf(QStringLiteral("keyless")) == 0);
}
