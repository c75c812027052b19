// Tests the messages in which daemons forward requests, and the choice of the daemon.
#define BOOST_TEST_MODULE ForwardChoices
#include <boost/test/unit_test.hpp>

#include "http/HttpRequest.h"
#include "relay/ForwardMessage.h"
#include "relay/ForwardOutcome.h"
#include "relay/ForwardPeers.h"

#include <random>

using namespace cranberry;

namespace {

ForwardMessage exampleMessage()
{
    ForwardMessage message;
    message.from = VmId(QStringLiteral("vm1"));
    message.request.id = RequestId(QStringLiteral("r1"));
    message.request.method = "POST";
    message.request.target = "/unsafe/a?b=%20c";
    message.request.host = "site.example";
    message.request.headers = {{"Host", "site.example"}, {"X-Note", "one"}, {"X-Note", "two"}};
    message.request.body = QByteArray("\0\r\n\xff", 4);
    message.request.promptTokens = Tokens(100);
    message.request.maxOutput = Tokens(200);
    message.request.expectedOutput = Tokens(50);
    message.route.name = QStringLiteral("unsafe");
    message.route.kind = RequestKind::AtMostOnce;
    message.route.timeout = Milliseconds(20000);
    message.route.objective = Milliseconds(2000);
    message.route.priority = 3;
    message.route.maxAttempts = 2;
    message.service = ServiceId(QStringLiteral("plain"));
    message.workspace = WorkspaceId(QStringLiteral("house"));
    message.age = Milliseconds(30);
    message.left = Milliseconds(1500);
    message.isCounted = true;
    return message;
}

std::optional<VmId> choose(const QList<ForwardCandidate> &candidates)
{
    std::mt19937 random(1);
    return chooseForwardPeer(candidates, [&](int bound) { return int(random() % quint32(bound)); });
}

ForwardCandidate candidate(const char *name, bool isSameDataCentre, bool isHeard, int outstanding)
{
    return {VmId(QString::fromLatin1(name)), isSameDataCentre, isHeard, outstanding};
}

} // namespace

BOOST_AUTO_TEST_CASE(AMessageKeepsEverythingButTheKey)
{
    ForwardMessage sent = exampleMessage();
    sent.request.key = "secret";
    const HttpRequest encoded = encodeForward(sent);
    BOOST_TEST(!encoded.body.contains("secret"));
    const std::optional<ForwardMessage> read = decodeForward(encoded.body);
    BOOST_REQUIRE(read.has_value());
    BOOST_TEST(read->from.text().toStdString() == "vm1");
    BOOST_TEST(read->request.id.text().toStdString() == "r1");
    BOOST_TEST(read->request.method.toStdString() == "POST");
    BOOST_TEST(read->request.target.toStdString() == "/unsafe/a?b=%20c");
    BOOST_TEST((read->request.headers.fields() == sent.request.headers.fields()));
    BOOST_TEST((read->request.body == sent.request.body));
    BOOST_TEST(read->request.promptTokens.value() == 100);
    BOOST_TEST(read->request.maxOutput.value() == 200);
    BOOST_TEST(read->request.expectedOutput->value() == 50);
    BOOST_TEST((read->route.kind == RequestKind::AtMostOnce));
    BOOST_TEST(read->route.timeout.count() == 20000);
    BOOST_TEST(read->route.objective.count() == 2000);
    BOOST_TEST(read->route.priority == 3);
    BOOST_TEST(read->route.maxAttempts == 2);
    BOOST_TEST(read->service.text().toStdString() == "plain");
    BOOST_TEST(read->workspace.text().toStdString() == "house");
    BOOST_TEST(read->isCounted);
    // The deadline is that of the caller: the time left counts from the arrival here.
    BOOST_TEST(read->request.callerTimeout->count() == 1530);
    BOOST_TEST(read->age.count() == 30);
}

BOOST_AUTO_TEST_CASE(NoPartOfAMessageIsTakenForAMessage)
{
    const QByteArray whole = encodeForward(exampleMessage()).body;
    for (qsizetype size = 0; size < whole.size(); ++size)
        BOOST_TEST(!decodeForward(whole.left(size)).has_value());
    std::mt19937 random(7);
    for (int i = 0; i < 2000; ++i) {
        QByteArray damaged = whole;
        for (int change = 0; change < 3; ++change)
            damaged[qsizetype(random() % quint32(damaged.size()))] = char(random());
        const std::optional<ForwardMessage> read = decodeForward(damaged);
        BOOST_TEST((!read || (read->left.count() >= 0 && read->age.count() >= 0)));
    }
}

BOOST_AUTO_TEST_CASE(ATargetCannotSetTheOutcome)
{
    const HttpHeaders target{{"forward-outcome", "not_run"}, {"X-Note", "kept"}};
    const HttpHeaders sent = withForwardOutcome(target, ForwardOutcome::Answered);
    BOOST_TEST((forwardOutcomeOf(sent) == ForwardOutcome::Answered));
    const HttpHeaders forCaller = callerHeadersOf(sent);
    BOOST_TEST(!forCaller.contains("Forward-Outcome"));
    BOOST_TEST(forCaller.value("X-Note").toStdString() == "kept");
    BOOST_TEST(!forwardOutcomeOf({{"Forward-Outcome", "broken"}}).has_value());
    BOOST_TEST(!forwardOutcomeOf({}).has_value());
}

BOOST_AUTO_TEST_CASE(ForwardedRequestsAreSpread)
{
    BOOST_TEST(!choose({}).has_value());
    const auto nameOf = [](const std::optional<VmId> &vm) { return vm->text().toStdString(); };
    BOOST_TEST(nameOf(choose({candidate("far", false, true, 0), candidate("near", true, true, 1)}))
               == "near");
    BOOST_TEST(nameOf(choose({candidate("far", false, true, 0), candidate("near", true, true, 5)}))
               == "far");
    BOOST_TEST(
        nameOf(choose({candidate("unheard", false, false, 0), candidate("far", false, true, 3)}))
        == "far");
    BOOST_TEST(nameOf(choose({candidate("unheard", false, false, 0)})) == "unheard");
}
