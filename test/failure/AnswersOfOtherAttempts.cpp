// Tests that a request counts as not run only if the answer to that very attempt says so.
#define BOOST_TEST_MODULE AnswersOfOtherAttempts
#include <boost/test/unit_test.hpp>

#include "standins/users/PromiseChecks.h"
#include "standins/users/ScriptedRunner.h"
#include "support/EventLoop.h"
#include "support/PlatformSite.h"

#include <QSet>

#include <random>

using namespace cranberry;
using namespace std::chrono_literals;
using standin::AnswerText;
using standin::ScriptedAnswer;
using standin::ScriptedRunner;

namespace {

const QByteArray KeepAlive = "Keep-Alive: timeout=10\r\n";
const QByteArray Pause = "Retry-After: 0.1\r\n";

/// Targets of the service "plain", whose answers @p script writes, and a daemon before them.
struct Site {
    using Script = std::function<ScriptedAnswer(int target, const HttpRequest &request)>;

    Site(int targetCount, const Script &script)
    {
        for (int i = 0; i < targetCount; ++i) {
            targets.push_back(std::make_unique<ScriptedRunner>("plain-" + QByteArray::number(i)));
            ScriptedRunner &target = *targets.back();
            target.setScript([script, i](const HttpRequest &request) {
                if (ScriptedRunner::idOf(request).isEmpty())
                    return ScriptedAnswer{AnswerText{200, {}, false, false, KeepAlive, {}}.bytes()};
                return script(i, request);
            });
            target.onRan([this, &target](const HttpRequest &request) {
                promises.ran(target.id(), request);
            });
            site.store().put(QStringLiteral("servers/") + QString::fromLatin1(target.id()),
                             target.entry("plain"));
        }
        site.configure(1);
        site.setFirstStart();
        daemon = site.startDaemon();
    }

    /// Sends at-most-once requests from @p callers callers for @p duration and waits for all
    /// answers.
    void load(std::size_t callers, std::chrono::milliseconds duration)
    {
        std::vector<std::pair<QByteArray, std::shared_ptr<test::ClientCall>>> calls;
        const auto until = std::chrono::steady_clock::now() + duration;
        const auto step = [&] {
            for (auto call = calls.begin(); call != calls.end();) {
                if (!call->second->isOver) {
                    ++call;
                    continue;
                }
                ++statuses[call->second->response.status];
                promises.answered(call->first, call->second->response,
                                  call->second->end == HttpExchangeEnd::Complete);
                call = calls.erase(call);
            }
            const bool isSending = std::chrono::steady_clock::now() < until;
            while (isSending && calls.size() < callers) {
                const QByteArray id = "r" + QByteArray::number(++sent);
                calls.emplace_back(id, site.sendWithBody(daemon, "/unsafe/a", id, "body of " + id));
            }
            return !isSending && calls.empty();
        };
        BOOST_TEST(test::waitFor(step));
    }
    void checkPromises()
    {
        for (const QString &broken : promises.broken()) {
            const QByteArray id = broken.section("request ", 1).section(',', 0, 0).toLatin1();
            QByteArray text = broken.toUtf8();
            for (const QByteArray &line : site.log(daemon).split('\n')) {
                if (line.contains("request=" + id + ' '))
                    text += '\n' + line;
            }
            BOOST_ERROR(text.toStdString());
        }
        for (const auto &[status, count] : statuses)
            BOOST_TEST_MESSAGE("status " << status << ": " << count);
    }

    test::PlatformSite site;
    standin::PromiseChecks promises;
    std::vector<std::unique_ptr<ScriptedRunner>> targets;
    std::map<int, int> statuses;
    int daemon = -1;
    int sent = 0;
};

AnswerText rejection(const QByteArray &id)
{
    return {503, id, true, false, KeepAlive + Pause, {}};
}

/// Rejects the first attempt of every fourth request, and sends that rejection again where the next
/// answer on the connection is due.
struct RejectingTwice {
    ScriptedAnswer operator()(int, const HttpRequest &request)
    {
        const QByteArray id = ScriptedRunner::idOf(request);
        const bool isFirst = !(*known).contains(id);
        known->insert(id);
        if (!isFirst || id.mid(1).toInt() % 4 != 0)
            return ScriptedRunner::run(request);
        ScriptedAnswer answer;
        answer.bytes = rejection(id).bytes();
        answer.due = answer.bytes;
        return answer;
    }

    std::shared_ptr<QSet<QByteArray>> known = std::make_shared<QSet<QByteArray>>();
};

} // namespace

// Guards against a promise that a request has not run, made of a second copy of the rejection of an
// earlier attempt.
BOOST_AUTO_TEST_CASE(SecondRejectionMakesNoPromise)
{
    Site site(1, RejectingTwice());
    site.load(4, 6s);
    site.checkPromises();
    BOOST_TEST(site.statuses[200] > 0);
}

// Guards against a second run of a request at another target, for the same reason.
BOOST_AUTO_TEST_CASE(SecondRejectionStartsNoSecondRun)
{
    Site site(3, RejectingTwice());
    site.load(12, 6s);
    site.checkPromises();
    BOOST_TEST(site.statuses[200] > 0);
}

// Guards against bytes after an answer that count as the answer to the next request: its caller
// gets no answer, or the promise that it has not run.
BOOST_AUTO_TEST_CASE(BytesAfterAnAnswerBelongToNoRequest)
{
    QByteArray due;
    Site site(1, [&due](int, const HttpRequest &request) {
        ScriptedAnswer answer = ScriptedRunner::run(request);
        answer.due = due;
        return answer;
    });
    for (const int status : {200, 400, 408, 421, 429, 500, 503}) {
        for (const bool isRejection : {true, false}) {
            for (const QByteArray &id : {QByteArray(), QByteArray("elsewhere")}) {
                for (const bool isSealed : {true, false}) {
                    due = AnswerText{status, id, isRejection, isSealed, KeepAlive, "more"}.bytes();
                    for (int i = 0; i < 2; ++i) {
                        const QByteArray request = "r" + QByteArray::number(++site.sent);
                        const auto call = site.site.callWithBody(site.daemon, "/unsafe/a", request,
                                                                 "body of " + request);
                        site.promises.answered(request, call->response,
                                               call->end == HttpExchangeEnd::Complete);
                        BOOST_TEST_CONTEXT("status " << status << " rejection " << isRejection
                                                     << " id " << id.data() << " sealed "
                                                     << isSealed)
                        BOOST_TEST(call->response.status == 200);
                    }
                }
            }
        }
    }
    site.checkPromises();
}

// Guards against a second run of a generation, whose first attempt was rejected at the same engine
// and whose second one uses the connection of its reservation.
BOOST_AUTO_TEST_CASE(SecondRejectionIsNoRejectionOfAReservedGeneration)
{
    test::PlatformSite site;
    ScriptedRunner target("model-1");
    QByteArray rejected;
    int rejections = 0;
    int copies = 0;
    target.setScript([&](const HttpRequest &request) {
        const QByteArray id = ScriptedRunner::idOf(request);
        ScriptedAnswer answer;
        if (request.path == "/v1/hold-take") {
            answer.bytes = AnswerText{200, {}, false, false, KeepAlive, R"({"hold": "h"})"}.bytes();
            answer.due = std::exchange(rejected, {});
            copies += answer.due.isEmpty() ? 0 : 1;
        } else if (id.isEmpty()) {
            answer.bytes =
                AnswerText{
                    200,       {},
                    false,     false,
                    KeepAlive, R"({"queued": 0, "running": 0, "kvUsed": 0, "kvTotal": 100000})"}
                    .bytes();
        } else if (rejections++ == 0) {
            rejected = rejection(id).bytes();
            answer.bytes = rejected;
        } else {
            answer.isRun = true;
            answer.bytes =
                AnswerText{200, id, false, true, {}, test::PlatformSite::events(3)}.bytes();
        }
        return answer;
    });
    site.store().put(QStringLiteral("servers/model-1"), target.entry("model"));
    site.configure(1);
    site.setFirstStart();
    const int daemon = site.startDaemon();
    const auto call = site.call(daemon, "POST", "/model/a", "r1", test::PlatformSite::generation());
    BOOST_TEST(copies == 1);
    BOOST_TEST(target.ran().size() == 1);
    BOOST_TEST(call->response.status == 200);
    BOOST_TEST((call->response.body == test::PlatformSite::events(3)));
}

// All of these at random places, under load.
BOOST_AUTO_TEST_CASE(RequestsUnderLoadRunOnce)
{
    constexpr int Targets = 8;
    constexpr std::size_t Callers = 24;
    for (const quint32 seed : {1, 2, 3}) {
        std::mt19937 random(seed);
        QList<QByteArray> names(Targets);
        const auto oneOf = [&random](const auto &values) {
            return values[random() % values.size()];
        };
        const auto script = [&](int target, const HttpRequest &request) {
            const QByteArray id = ScriptedRunner::idOf(request);
            ScriptedAnswer answer = ScriptedRunner::run(request);
            if (random() % 10 < 2) {
                const int status = oneOf(std::vector<int>{429, 503});
                const QByteArray headers = random() % 2 == 0 ? KeepAlive + Pause : KeepAlive;
                answer = {AnswerText{status, id, true, false, headers, {}}.bytes()};
            }
            answer.delay = std::chrono::milliseconds(random() % 20);
            const QByteArray before = std::exchange(names[target], id);
            if (random() % 10 < 4)
                return answer;
            const AnswerText other{oneOf(std::vector<int>{200, 400, 408, 421, 429, 500, 503}),
                                   oneOf(std::vector<QByteArray>{{}, before, "elsewhere"}),
                                   random() % 2 == 0,
                                   random() % 4 == 0,
                                   KeepAlive,
                                   {}};
            const QByteArray extra = random() % 2 == 0 ? answer.bytes : other.bytes();
            answer.lateDelay = std::chrono::milliseconds(random() % 50);
            const auto places = {&ScriptedAnswer::due, &ScriptedAnswer::late,
                                 &ScriptedAnswer::bytes};
            answer.*oneOf(std::vector(places)) += extra;
            return answer;
        };
        Site site(Targets, script);
        site.load(Callers, 5s);
        BOOST_TEST_MESSAGE("seed " << seed << ": " << site.sent << " requests");
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            site.checkPromises();
            BOOST_TEST(site.statuses[200] > 0);
        }
    }
}
