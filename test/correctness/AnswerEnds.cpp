// Tests what the end of an answer says about its completeness, over every cut of generated streams.
#define BOOST_TEST_MODULE AnswerEnds
#include <boost/test/unit_test.hpp>

#include "delivery/ServerSentEventParser.h"
#include "http/BodyFraming.h"
#include "http/HttpExchangeEnd.h"
#include "relay/AnswerEnd.h"

#include <random>

using namespace cranberry;

namespace {

constexpr unsigned Seeds = 300;

/// A generated stream and, for each number of bytes, whether a cut there is inside an event.
struct GeneratedStream {
    QByteArray bytes;
    std::vector<bool> isInsideEvent{false};
    /// A field of the current event was written.
    bool hasField = false;

    void addLine(const QByteArray &text, const QByteArray &lineEnd)
    {
        const bool isBlank = text.isEmpty();
        hasField = hasField || !(isBlank || text.startsWith(':'));
        const QByteArray line = text + lineEnd;
        bytes += line;
        for (qsizetype sent = 1; sent < line.size(); ++sent)
            isInsideEvent.push_back(!isBlank || hasField);
        hasField = hasField && !isBlank;
        isInsideEvent.push_back(hasField);
    }
};

GeneratedStream generate(unsigned seed)
{
    std::mt19937 random(seed);
    const auto below = [&](unsigned bound) { return random() % bound; };
    const QByteArray lineEnd = below(2) == 0 ? "\n" : "\r\n";
    GeneratedStream stream;
    const unsigned events = 1 + below(4);
    for (unsigned number = 1; number <= events; ++number) {
        if (below(4) == 0)
            stream.addLine(": note " + QByteArray::number(number), lineEnd);
        if (below(4) == 0)
            stream.addLine({}, lineEnd);
        if (below(3) == 0)
            stream.addLine("version: 7", lineEnd);
        stream.addLine("id: " + QByteArray::number(number), lineEnd);
        if (below(4) == 0)
            stream.addLine(":", lineEnd);
        for (unsigned line = 0; line <= below(3); ++line)
            stream.addLine("data:" + QByteArray(int(below(4)), 'x') + ": y", lineEnd);
        stream.addLine({}, lineEnd);
    }
    for (unsigned line = 0; line < below(3); ++line)
        stream.addLine(below(2) == 0 ? QByteArray() : QByteArray(": end"), lineEnd);
    return stream;
}

/// Feeds @p bytes in random pieces.
ServerSentEventParser fed(const QByteArray &bytes, unsigned seed)
{
    std::mt19937 random(seed);
    ServerSentEventParser parser;
    for (qsizetype at = 0; at < bytes.size();) {
        const qsizetype size = 1 + qsizetype(random() % 20);
        (void)parser.feed(bytes.mid(at, size));
        at += size;
    }
    return parser;
}

} // namespace

// Guards against a torn stream that is judged whole, and a whole one that is judged torn.
BOOST_AUTO_TEST_CASE(EveryCutOfAStreamIsJudged)
{
    for (unsigned seed = 1; seed <= Seeds; ++seed) {
        const GeneratedStream stream = generate(seed);
        int wrong = 0;
        for (qsizetype cut = 0; cut <= stream.bytes.size(); ++cut) {
            const bool isInside = fed(stream.bytes.left(cut), seed).isInsideEvent();
            const AnswerEnd expected =
                stream.isInsideEvent[size_t(cut)] ? AnswerEnd::InsideEvent : AnswerEnd::Whole;
            wrong += judgeAnswerEnd(HttpExchangeEnd::Complete, isInside) != expected;
            for (const HttpExchangeEnd end :
                 {HttpExchangeEnd::Broken, HttpExchangeEnd::NotConnected,
                  HttpExchangeEnd::Malformed, HttpExchangeEnd::TimedOut})
                wrong += judgeAnswerEnd(end, isInside) != AnswerEnd::Broken;
        }
        BOOST_TEST(wrong == 0, "seed " << seed);
    }
}

// Guards against a judgement that depends on how the bytes were split, for any bytes.
BOOST_AUTO_TEST_CASE(RandomBytesAreJudgedAlikeInAnyPieces)
{
    const QByteArray alphabet = "\n\n\n\r:id data0";
    for (unsigned seed = 1; seed <= Seeds; ++seed) {
        std::mt19937 random(seed);
        QByteArray bytes;
        for (int i = 0; i < 200; ++i)
            bytes += alphabet[qsizetype(random() % unsigned(alphabet.size()))];
        ServerSentEventParser atOnce;
        (void)atOnce.feed(bytes);
        const ServerSentEventParser inPieces = fed(bytes, seed);
        BOOST_TEST(atOnce.isInsideEvent() == inPieces.isInsideEvent(), "seed " << seed);
        BOOST_TEST((atOnce.trailingBytes() == inPieces.trailingBytes()), "seed " << seed);
    }
}

// Guards against a stream that is judged whole although events were dropped: what precedes an event
// exceeded the limit of the parser.
BOOST_AUTO_TEST_CASE(StreamWithDroppedEventsIsNotWhole)
{
    ServerSentEventParser parser;
    // In pieces as a connection delivers them, which end between two lines.
    const QByteArray notes = QByteArray(": note\n\n").repeated(1000);
    for (int piece = 0; piece < 200 && !parser.isMalformed(); ++piece)
        (void)parser.feed(notes);
    BOOST_REQUIRE(parser.isMalformed());
    BOOST_TEST(parser.feed("id: 1\ndata: x\n\n").isEmpty());
    BOOST_TEST(parser.isInsideEvent());
}

// Guards against a close that is taken for the end of a stream which its target was ordered to
// stop.
BOOST_AUTO_TEST_CASE(CloseAfterAStopOrderIsNoEvidence)
{
    for (const AnswerEnd end : {AnswerEnd::Broken, AnswerEnd::InsideEvent}) {
        for (const BodyFraming framing :
             {BodyFraming::Length, BodyFraming::Chunks, BodyFraming::Connection})
            BOOST_TEST((judgeAfterStopOrder(end, framing) == end));
    }
    BOOST_TEST(
        (judgeAfterStopOrder(AnswerEnd::Whole, BodyFraming::Connection) == AnswerEnd::Stopped));
    BOOST_TEST((judgeAfterStopOrder(AnswerEnd::Whole, BodyFraming::Length) == AnswerEnd::Whole));
    BOOST_TEST((judgeAfterStopOrder(AnswerEnd::Whole, BodyFraming::Chunks) == AnswerEnd::Whole));
}
