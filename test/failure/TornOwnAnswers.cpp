// Tests answers of the own interface whose target breaks them off with an orderly close.
#define BOOST_TEST_MODULE TornOwnAnswers
#include <boost/test/unit_test.hpp>

#include "standins/users/RawRunner.h"
#include "support/EventLoop.h"
#include "support/Fleet.h"
#include "support/FleetStream.h"

#include <QJsonArray>

using namespace cranberry;
using namespace cranberry::test;
using standin::RawAnswer;
using standin::RawRunner;

namespace {

constexpr qint64 FirstVersion = 1;

QByteArray lengthHeader(const QByteArray &body)
{
    return "Content-Length: " + QByteArray::number(body.size()) + "\r\n";
}

QByteArray tokenEvent(int number, const QByteArray &attempt, const QByteArray &finishReason)
{
    return "id: " + QByteArray::number(number) + "\ndata: {\"id\":\"" + attempt
        + R"(","object":"text_completion","choices":[{"index":0,"text":"a","finish_reason":)"
        + finishReason + "}]}\n\n";
}

/// One daemon with one engine and one plain target, both of which send the bytes that the test
/// specifies.
struct Fixture {
    Fixture()
    {
        FleetPlan plan;
        plan.daemons = 1;
        plan.engines = 1;
        plan.plainServices = 1;
        fleet.emplace(plan);
        BOOST_REQUIRE(fleet->start());
        QJsonObject document = fleet->document();
        QJsonObject targets = document.value("targets").toObject();
        for (const QString &name : targets.keys()) {
            QJsonObject entry = targets.value(name).toObject();
            entry.insert("url", QStringLiteral("http://127.0.0.1:%1").arg(target.endpoint().port));
            targets.insert(name, entry);
        }
        document.insert("targets", targets);
        BOOST_REQUIRE(fleet->apply(document) > FirstVersion);
    }

    RawAnswer answerTo(const QByteArray &request)
    {
        const QByteArray path = request.split(' ').value(1);
        if (path == "/v1/completions" || path.startsWith("/book"))
            return answer(request);
        const bool isLoad = path.startsWith("/load");
        const QByteArray body = isLoad
            ? R"({"incarnation":1,"resident_tokens":0,"capacity_tokens":100000,"running":0,)"
              R"("waiting":0,"preemptions":0,"leaving":false,"age_ms":0})"
            : R"({"events":[]})";
        const bool isUnknown = path.startsWith("/generations");
        return {QByteArray(isUnknown ? "HTTP/1.1 404 No\r\n" : "HTTP/1.1 200 OK\r\n")
                + lengthHeader(body) + "\r\n" + body};
    }

    FleetAnswer callPlain()
    {
        return fleet->client().sendJson(fleet->gateway(0), "POST", "/services/status/book", {},
                                        fleet->caller());
    }

    /// Before all that needs an event loop.
    struct Application {
        Application() { ensureApplication(); }
    } application;
    std::optional<Fleet> fleet;
    RawRunner::Answer answer;
    RawRunner target{[this](const QByteArray &request) { return answerTo(request); }};
};

} // namespace

// Guards against a truncated plain answer that looks complete: its target crashed midway, which
// closed the connection in order, and it had no length.
BOOST_FIXTURE_TEST_CASE(PlainAnswerOfACrashedTargetIsNotWhole, Fixture)
{
    answer = [](const QByteArray &) {
        return RawAnswer{"HTTP/1.1 200 OK\r\n\r\n{\"whole\":true}", RawAnswer::After::Close};
    };
    const FleetAnswer whole = callPlain();
    BOOST_TEST(whole.is(200));
    BOOST_TEST(whole.json["whole"].toBool());
    answer = [](const QByteArray &) {
        return RawAnswer{"HTTP/1.1 200 OK\r\n\r\n{\"whole\":", RawAnswer::After::Exit};
    };
    BOOST_TEST(callPlain().response.status != 200);
}

// Guards against a stream that looks complete: it ended in order before its last event, between two
// events or inside one.
BOOST_FIXTURE_TEST_CASE(StreamWithoutItsLastEventIsNotWhole, Fixture)
{
    constexpr int Whole = -1;
    qsizetype eventSize = 0;
    qsizetype cut = Whole;
    answer = [&](const QByteArray &request) {
        const QByteArray attempt = RawRunner::header(request, "Cranberry-Attempt");
        const QByteArray last = tokenEvent(1, attempt, "\"stop\"");
        eventSize = last.size();
        return RawAnswer{"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
                             + tokenEvent(0, attempt, "null")
                             + (cut == Whole ? last + "data: [DONE]\n\n" : last.left(cut)),
                         RawAnswer::After::Close};
    };
    const auto ending = [&](const QString &prompt) {
        auto stream = fleet->complete(0, prompt, 4, fleet->caller());
        BOOST_REQUIRE(stream->waitOver());
        return stream;
    };
    BOOST_TEST(ending(QStringLiteral("whole"))->isWhole());
    constexpr int Cuts = 8;
    for (int part = 0; part < Cuts; ++part) {
        cut = eventSize * part / Cuts;
        BOOST_TEST(!ending(QStringLiteral("cut %1").arg(cut))->isWhole());
    }
}
