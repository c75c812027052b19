// Server-sent events arrive cut anywhere and come out whole.
#define BOOST_TEST_MODULE EventStream
#include <boost/test/unit_test.hpp>

#include "delivery/ServerSentEventParser.h"
#include "delivery/TokenEvent.h"

using namespace cranberry;

BOOST_AUTO_TEST_CASE(EveryCutGivesTheSameEvents)
{
    const QByteArray text = "id: 0\ndata: {\"a\":1}\n\nid: 1\r\nevent: error\r\ndata: x\r\n\r\n: "
                            "note\n\ndata: [DONE]\n\n";
    for (qsizetype cut = 0; cut <= text.size(); ++cut) {
        ServerSentEventParser events;
        QList<ServerSentEvent> got = events.feed(text.left(cut));
        got += events.feed(text.mid(cut));
        BOOST_REQUIRE_EQUAL(got.size(), 3);
        BOOST_TEST(got[0].id.toStdString() == "0");
        BOOST_TEST(got[0].data.toStdString() == "{\"a\":1}");
        BOOST_TEST(got[1].name.toStdString() == "error");
        BOOST_TEST(got[2].data.toStdString() == "[DONE]");
    }
}

BOOST_AUTO_TEST_CASE(EndlessEventIsMalformed)
{
    ServerSentEventParser events;
    for (int i = 0; i < 40 && !events.isMalformed(); ++i)
        events.feed("data: " + QByteArray(64 * 1024, 'x'));
    BOOST_TEST(events.isMalformed());
    BOOST_TEST(events.feed("\n\ndata: 1\n\n").isEmpty());
}

BOOST_AUTO_TEST_CASE(TokenNamesItsGenerationPlaceAndEnd)
{
    const ServerSentEvent text{
        "4", {}, R"({"id":"a1","choices":[{"index":0,"text":"so","finish_reason":null}]})"};
    const Result<TokenEvent> token = parseTokenEvent(text);
    BOOST_REQUIRE(token);
    BOOST_TEST(token.value().attempt.text().toStdString() == "a1");
    BOOST_TEST(token.value().index == 4);
    BOOST_TEST(token.value().text.toStdString() == "so");
    BOOST_TEST(!token.value().isLast());
    const ServerSentEvent last{
        "5",
        {},
        R"({"id":"a1","choices":[{"delta":{"content":""},"finish_reason":"stop"}],"usage":{"completion_tokens":5}})"};
    BOOST_TEST(parseTokenEvent(last).value().isLast());
    BOOST_TEST(parseTokenEvent(last).value().usage.contains("5"));
}

BOOST_AUTO_TEST_CASE(WhatIsNotOfTheProtocolIsAnError)
{
    BOOST_TEST(!parseTokenEvent({"x", {}, "{}"}));
    BOOST_TEST(!parseTokenEvent({"-1", {}, R"({"choices":[{"text":"a"}]})"}));
    BOOST_TEST(!parseTokenEvent({"0", {}, "not json"}));
    BOOST_TEST(!parseTokenEvent({"0", {}, R"({"choices":[]})"}));
}
