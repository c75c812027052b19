// Tests configuration changes in a fleet of processes, with races, outages and pauses.
#define BOOST_TEST_MODULE ConfigurationProcesses
#include <boost/test/unit_test.hpp>

#include "support/EventLoop.h"
#include "support/Fleet.h"
#include "support/FleetStream.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QSet>

using namespace cranberry;
using namespace cranberry::test;

namespace {

struct Fixture {
    Fixture()
    {
        ensureApplication();
        FleetPlan plan;
        plan.daemons = 3;
        plan.engines = 1;
        fleet.emplace(plan);
        BOOST_REQUIRE(fleet->start());
    }

    QJsonObject present(int daemon)
    {
        return fleet->client()
            .get(fleet->gateway(daemon), "/v1/configuration", fleet->operatorHeaders())
            .json;
    }

    /// The initial document with a queue limit that identifies the version.
    QJsonObject documentWithQueueLimit(int limit) const
    {
        QJsonObject document = fleet->document();
        QJsonObject services = document["services"].toObject();
        QJsonObject drafts = services["drafts"].toObject();
        drafts.insert(QStringLiteral("queue_limit"), limit);
        services.insert(QStringLiteral("drafts"), drafts);
        document.insert(QStringLiteral("services"), services);
        return document;
    }

    static int queueLimitOf(const QJsonObject &document)
    {
        const QJsonObject services = document["services"].toObject();
        return services["drafts"].toObject()["queue_limit"].toInt();
    }

    std::optional<Fleet> fleet;
};

/// An operator that adds a workspace and retries until the change is accepted.
class RacingOperator
{
public:
    RacingOperator(Fleet &fleet, int number)
        : m_fleet(fleet)
        , m_daemon(number % fleet.daemonCount())
        , m_workspace(QStringLiteral("race-%1").arg(number))
    {
        read();
    }

    bool isDone() const { return m_accepted > 0 || !m_unexpected.isEmpty(); }
    qint64 accepted() const { return m_accepted; }
    int conflicts() const { return m_conflicts; }
    const QByteArray &unexpected() const { return m_unexpected; }

private:
    using Answered = std::function<void(const HttpResponse &)>;

    void call(const HttpRequest &request, Answered answered)
    {
        m_exchange =
            m_fleet.client().http().fetch(m_fleet.gateway(m_daemon), request, {},
                                          [this, answered = std::move(answered)](
                                              HttpExchangeEnd end, const HttpResponse &answer) {
                                              if (end == HttpExchangeEnd::Complete)
                                                  answered(answer);
                                              else
                                                  m_unexpected = "no answer";
                                          });
    }

    void read()
    {
        call({"GET", "/v1/configuration", {}, m_fleet.operatorHeaders(), {}},
             [this](const HttpResponse &answer) { submit(answer); });
    }

    void submit(const HttpResponse &present)
    {
        QJsonObject document = QJsonDocument::fromJson(present.body).object();
        QJsonObject workspaces = document["workspaces"].toObject();
        workspaces.insert(
            m_workspace,
            QJsonObject{{"key_sha256", QJsonArray()}, {"services", QJsonArray{"drafts"}}});
        document.insert(QStringLiteral("workspaces"), workspaces);
        HttpHeaders headers = m_fleet.operatorHeaders();
        headers.add("If-Match", present.headers.value("ETag"));
        call({"PUT", "/v1/configuration", {}, headers, QJsonDocument(document).toJson()},
             [this](const HttpResponse &answer) { answered(answer); });
    }

    void answered(const HttpResponse &answer)
    {
        if (answer.status == 200) {
            m_accepted = answer.headers.value("ETag").replace('"', "").toLongLong();
        } else if (answer.status == 412) {
            ++m_conflicts;
            read();
        } else {
            m_unexpected = QByteArray::number(answer.status) + ' ' + answer.body;
        }
    }

    Fleet &m_fleet;
    const int m_daemon;
    const QString m_workspace;
    std::unique_ptr<HttpExchange> m_exchange;
    qint64 m_accepted = 0;
    int m_conflicts = 0;
    QByteArray m_unexpected;
};

} // namespace

BOOST_FIXTURE_TEST_CASE(TwentyRacingOperatorsEachGetAVersionOfTheirOwn, Fixture)
{
    // Guards against an accepted change that another one overwrites. Twenty operators read, add a
    // workspace and submit at the same time through three daemons; one whose change conflicts gets
    // status 412 and starts again from the version in force.
    constexpr int Operators = 20;
    std::vector<std::unique_ptr<RacingOperator>> operators;
    operators.reserve(Operators);
    for (int i = 0; i < Operators; ++i)
        operators.push_back(std::make_unique<RacingOperator>(*fleet, i));
    BOOST_REQUIRE(waitFor([&] {
        return std::all_of(operators.begin(), operators.end(),
                           [](const auto &racingOperator) { return racingOperator->isDone(); });
    }));
    QSet<qint64> versions;
    int conflicts = 0;
    for (const auto &racingOperator : operators) {
        BOOST_TEST(racingOperator->unexpected().toStdString() == "");
        versions.insert(racingOperator->accepted());
        conflicts += racingOperator->conflicts();
    }
    BOOST_TEST(versions.size() == Operators);
    BOOST_TEST(conflicts > 0);
    const qint64 last = *std::max_element(versions.begin(), versions.end());
    BOOST_TEST(last == 1 + Operators);
    BOOST_REQUIRE(fleet->waitForVersion(last));
    for (int daemon = 0; daemon < fleet->daemonCount(); ++daemon) {
        const QStringList workspaces = present(daemon)["workspaces"].toObject().keys();
        BOOST_TEST(workspaces.filter("race-").size() == Operators);
    }
}

BOOST_FIXTURE_TEST_CASE(LostAnswerOfTheAcceptanceIsSettledAsAccepted, Fixture)
{
    // Guards against a change that is reported as failed although it is in force. The platform
    // creates the key and does not answer; the daemon reads the key and finds its own change.
    BOOST_REQUIRE(
        fleet->setFaults(fleet->platformEndpoint(),
                         {{"lose_answers", 1}, {"lose_answers_under", "configuration/change/"}}));
    const FleetAnswer answer = fleet->putDocument(0, documentWithQueueLimit(11), 1);
    BOOST_TEST(answer.is(200), answer.response.body.toStdString());
    BOOST_TEST(answer.json["version"].toInteger() == 2);
    BOOST_REQUIRE(fleet->waitForVersion(2));
}

BOOST_FIXTURE_TEST_CASE(OutageRefusesChangesCutsNobodyOffAndIsOverAfterwards, Fixture)
{
    // Guards against callers that are cut off, and against a change that is in force in one daemon
    // only. The platform goes down while a stream runs and an operator submits a change; it is not
    // reported as accepted, the stream and new requests are served, and after the outage changes
    // reach every daemon again.
    const auto stream = fleet->complete(0, "before the outage", 200, fleet->caller());
    BOOST_REQUIRE(stream->waitForTokens(1));
    BOOST_REQUIRE(fleet->setFaults(fleet->platformEndpoint(), {{"down", true}}));
    const FleetAnswer refused = fleet->putDocument(0, documentWithQueueLimit(11), 1);
    BOOST_TEST((refused.is(503) || refused.is(409)), refused.response.status);
    BOOST_TEST(refused.json["ran"].toString().toStdString() != "yes");
    const auto streamDuringOutage = fleet->complete(1, "during the outage", 5, fleet->caller());
    BOOST_REQUIRE(streamDuringOutage->waitOver());
    BOOST_TEST(streamDuringOutage->isWhole());
    BOOST_REQUIRE(stream->waitOver());
    BOOST_TEST(stream->isWhole());
    BOOST_REQUIRE(fleet->setFaults(fleet->platformEndpoint(), {{"down", false}}));
    qint64 version = -1;
    BOOST_REQUIRE(waitFor([&] {
        version = fleet->versionOf(1);
        return fleet->putDocument(1, documentWithQueueLimit(12), version).is(200);
    }));
    BOOST_REQUIRE(fleet->waitForVersion(version + 1));
    BOOST_TEST(queueLimitOf(present(2)) == 12);
}

BOOST_FIXTURE_TEST_CASE(DaemonPausedThroughTenChangesCatchesUpAndNeverGoesBack, Fixture)
{
    // Guards against a paused daemon that serves by a removed target's rules for long, or returns
    // to an old version after a new one. A daemon is paused, ten changes are accepted, and it
    // resumes; every version read from it is at least the one before.
    fleet->daemon(2).pause();
    for (int i = 0; i < 10; ++i)
        BOOST_REQUIRE(fleet->putDocument(0, documentWithQueueLimit(20 + i), 1 + i).is(200));
    fleet->daemon(2).resume();
    QList<qint64> read;
    BOOST_REQUIRE(waitFor([&] {
        read.append(fleet->versionOf(2));
        return read.last() == 11;
    }));
    BOOST_TEST(std::is_sorted(read.begin(), read.end()));
    BOOST_TEST(queueLimitOf(present(2)) == 29);
}

BOOST_FIXTURE_TEST_CASE(DaemonThatStartsWhileChangesGoOnHasTheNewestVersion, Fixture)
{
    // Guards against a replacement VM that serves an old document. Seventy changes, over a snapshot
    // and its trim, are accepted while it starts; it reaches the last one.
    for (int i = 0; i < 70; ++i)
        BOOST_REQUIRE(fleet
                          ->putDocument(i % 2, documentWithQueueLimit(100 + i),
                                        std::max(fleet->versionOf(i % 2), qint64(1 + i)))
                          .is(200));
    const int lateDaemon = fleet->addDaemon();
    BOOST_REQUIRE(lateDaemon >= 0);
    BOOST_REQUIRE(fleet->publishVms());
    BOOST_REQUIRE(fleet->waitForVersion(71));
    BOOST_CHECK(present(lateDaemon) == present(0));
}
