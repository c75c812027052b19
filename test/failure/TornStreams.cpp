// Tests streams that targets break off, and what the client receives then.
#define BOOST_TEST_MODULE TornStreams
#include <boost/test/unit_test.hpp>

#include "standins/users/RawRunner.h"
#include "support/EventLoop.h"
#include "support/PlatformSite.h"

using namespace cranberry;
using standin::RawAnswer;
using standin::RawRunner;

namespace {

enum class Framing {
    Connection,
    Chunks,
    Length,
};

constexpr Framing AllFramings[] = {Framing::Connection, Framing::Chunks, Framing::Length};
constexpr qsizetype AllAtOnce = 0;

QByteArray framingHeader(Framing framing, const QByteArray &body)
{
    switch (framing) {
    case Framing::Chunks:
        return "Transfer-Encoding: chunked\r\n";
    case Framing::Length:
        return "Content-Length: " + QByteArray::number(body.size()) + "\r\n";
    case Framing::Connection:
        break;
    }
    return {};
}

QByteArray framedBody(Framing framing, const QByteArray &body)
{
    if (framing != Framing::Chunks)
        return body;
    return QByteArray::number(body.size(), 16) + "\r\n" + body + "\r\n0\r\n\r\n";
}

QByteArray eventText(int number, const QByteArray &lineEnd)
{
    const QByteArray text = QByteArray::number(number);
    return "id: " + text + lineEnd + "data: event " + text + lineEnd + lineEnd;
}

/// A site with one engine that sends the bytes that the test specifies.
struct Fixture {
    Fixture()
    {
        site.configure(1);
        daemon = site.startDaemon();
    }

    /// The engine answers the next generation with a stream of @p body.
    std::shared_ptr<test::ClientCall> stream(const QByteArray &body, Framing framing,
                                             RawAnswer::After after = RawAnswer::After::Close,
                                             qsizetype pieceBytes = AllAtOnce)
    {
        return rawStream("HTTP/1.1", framingHeader(framing, body), framedBody(framing, body), after,
                         pieceBytes);
    }

    /// The same with the HTTP version @p version, the header lines @p framing and the bytes @p body
    /// after the headers.
    std::shared_ptr<test::ClientCall> rawStream(const QByteArray &version,
                                                const QByteArray &framing, const QByteArray &body,
                                                RawAnswer::After after,
                                                qsizetype pieceBytes = AllAtOnce)
    {
        answer = [=](const QByteArray &request) {
            const QByteArray head = version
                + " 200 OK\r\nCranberryquay-Response-Seal: s\r\n"
                  "Content-Type: text/event-stream\r\n"
                  "Cranberryquay-Request-Id: "
                + RawRunner::header(request, "Cranberryquay-Request-Id") + "\r\n" + framing
                + "\r\n";
            return RawAnswer{head + body, after, pieceBytes};
        };
        announceNewTarget();
        return site.call(daemon, "POST", "/model/a", "r" + QByteArray::number(targets),
                         test::PlatformSite::generation());
    }

    /// Puts the engine's address under a new id, so that earlier failures do not count.
    void announceNewTarget()
    {
        engine.restart();
        if (targets > 0)
            site.store().remove(QStringLiteral("servers/raw-%1").arg(targets));
        const QByteArray id = "raw-" + QByteArray::number(++targets);
        site.store().put(QStringLiteral("servers/") + QString::fromLatin1(id),
                         R"({"service": "model", "zone": "hall", "slots": 8, "state": "ready",
                             "address": "127.0.0.1:)"
                             + QByteArray::number(engine.endpoint().port) + "\"}");
        BOOST_REQUIRE(test::waitFor(
            [&] { return site.log(daemon).contains("target.joined target=" + id + ' '); }));
    }

    RawAnswer answerTo(const QByteArray &request)
    {
        const QByteArray path = request.split(' ').value(1);
        if (!path.startsWith("/v1/"))
            return answer(request);
        const QByteArray body = path == "/v1/report"
            ? R"({"queued":0,"running":0,"kvUsed":0,"kvTotal":100000})"
            : R"({"hold":"room"})";
        return {"HTTP/1.1 200 OK\r\nContent-Length: " + QByteArray::number(body.size()) + "\r\n\r\n"
                    + body,
                RawAnswer::After::KeepOpen};
    }

    test::PlatformSite site;
    RawRunner::Answer answer;
    RawRunner engine{[this](const QByteArray &request) { return answerTo(request); }};
    int targets = 0;
    int daemon = -1;
};

/// The client must see a broken stream that contains at most the whole events; a failure if there
/// are none.
void checkBroken(const test::ClientCall &call, const QByteArray &wholeEvents)
{
    if (wholeEvents.isEmpty()) {
        BOOST_TEST(call.response.status == 502);
        return;
    }
    BOOST_TEST((call.end == HttpExchangeEnd::Broken));
    BOOST_TEST(wholeEvents.startsWith(call.response.body));
}

void checkWhole(const test::ClientCall &call, const QByteArray &body)
{
    BOOST_TEST((call.end == HttpExchangeEnd::Complete));
    BOOST_TEST(call.response.status == 200);
    BOOST_TEST((call.response.body == body));
}

} // namespace

// Guards against a torn stream that looks complete: it had neither a length nor chunks, and its
// connection was closed in order inside an event.
BOOST_FIXTURE_TEST_CASE(CloseInsideAnEventIsNoEnd, Fixture)
{
    for (const QByteArray &lineEnd : {QByteArray("\n"), QByteArray("\r\n")}) {
        const QByteArray whole = eventText(1, lineEnd) + eventText(2, lineEnd);
        const QByteArray last = eventText(3, lineEnd);
        for (qsizetype cut = 1; cut < last.size(); ++cut) {
            for (const qsizetype pieceBytes : {AllAtOnce, qsizetype(1)}) {
                BOOST_TEST_CONTEXT("cut after " << cut << " bytes")
                checkBroken(*stream(whole + last.left(cut), Framing::Connection,
                                    RawAnswer::After::Close, pieceBytes),
                            whole);
            }
        }
        for (qsizetype cut = 1; cut < last.size(); ++cut)
            checkBroken(*stream(last.left(cut), Framing::Connection), {});
    }
}

// Guards against the same end where the last chunk was sent or the length was reached.
BOOST_FIXTURE_TEST_CASE(FramedEndInsideAnEventIsNoEnd, Fixture)
{
    const QByteArray whole = eventText(1, "\n") + eventText(2, "\n");
    const QByteArray last = eventText(3, "\n");
    for (const Framing framing : {Framing::Chunks, Framing::Length}) {
        for (qsizetype cut = 1; cut < last.size(); ++cut) {
            BOOST_TEST_CONTEXT("cut after " << cut << " bytes")
            checkBroken(*stream(whole + last.left(cut), framing), whole);
        }
    }
}

// Guards against a stricter check that breaks off whole streams.
BOOST_FIXTURE_TEST_CASE(WholeStreamsStayWhole, Fixture)
{
    for (const QByteArray &lineEnd : {QByteArray("\n"), QByteArray("\r\n")}) {
        const QByteArray events = eventText(1, lineEnd) + eventText(2, lineEnd);
        for (const QByteArray &tail : {QByteArray(), lineEnd, lineEnd + lineEnd, ": done" + lineEnd,
                                       ": done" + lineEnd + lineEnd, ':' + lineEnd}) {
            for (const Framing framing : AllFramings) {
                for (const qsizetype pieceBytes : {AllAtOnce, qsizetype(1)}) {
                    const QByteArray body = events + tail;
                    checkWhole(*stream(body, framing, RawAnswer::After::Close, pieceBytes), body);
                }
            }
        }
    }
}

// Guards against a stream that looks complete although its target has crashed between two events:
// the connection was closed in order, and no byte shows it.
BOOST_FIXTURE_TEST_CASE(CloseByACrashBetweenEventsIsNoEnd, Fixture)
{
    for (int events = 1; events <= 3; ++events) {
        QByteArray sent;
        for (int number = 1; number <= events; ++number)
            sent += eventText(number, "\n");
        for (const qsizetype pieceBytes : {AllAtOnce, qsizetype(1)})
            checkBroken(*stream(sent, Framing::Connection, RawAnswer::After::Exit, pieceBytes),
                        sent);
        // A body whose framing is complete needs no further evidence.
        for (const Framing framing : {Framing::Chunks, Framing::Length})
            checkWhole(*stream(sent, framing, RawAnswer::After::Exit), sent);
    }
}

// Guards against a stream that looks complete although its rest was dropped: what precedes an event
// exceeded the limit of the parser.
BOOST_FIXTURE_TEST_CASE(StreamWithAnOversizedEventIsNotWhole, Fixture)
{
    const QByteArray note = ": " + QByteArray(1000, 'x') + "\n\n";
    constexpr int TooManyNotes = 1100;
    const QByteArray first = eventText(1, "\n");
    const QByteArray body = first + note.repeated(TooManyNotes) + eventText(2, "\n");
    for (const Framing framing : AllFramings)
        checkBroken(*stream(body, framing), first);
}

// Unusual but complete framings of a whole stream.
BOOST_FIXTURE_TEST_CASE(VariantsOfCompleteFramingAreWhole, Fixture)
{
    const QByteArray events = eventText(1, "\n") + eventText(2, "\n");
    const QByteArray size = QByteArray::number(events.size());
    const QByteArray chunk = QByteArray::number(events.size(), 16) + "\r\n" + events + "\r\n";
    const struct {
        const char *name;
        QByteArray version;
        QByteArray framing;
        QByteArray body;
    } variants[] = {
        {"HTTP/1.0 without a length", "HTTP/1.0", "", events},
        {"HTTP/1.0 with a length", "HTTP/1.0", "Content-Length: " + size + "\r\n", events},
        {"close without a length", "HTTP/1.1", "Connection: close\r\n", events},
        {"close with a length", "HTTP/1.1", "Connection: close\r\nContent-Length: " + size + "\r\n",
         events},
        {"a length and one more byte", "HTTP/1.1", "Content-Length: " + size + "\r\n",
         events + "i"},
        {"chunks and one more byte", "HTTP/1.1", "Transfer-Encoding: chunked\r\n",
         chunk + "0\r\n\r\ni"},
        {"chunks with a trailer", "HTTP/1.1", "Transfer-Encoding: chunked\r\nTrailer: Sum\r\n",
         chunk + "0\r\nSum: 1\r\n\r\n"},
        {"chunks with extensions", "HTTP/1.1", "Transfer-Encoding: chunked\r\n",
         QByteArray::number(events.size(), 16) + ";a=b\r\n" + events + "\r\n0;a=b\r\n\r\n"},
    };
    for (const auto &variant : variants) {
        BOOST_TEST_CONTEXT(variant.name)
        checkWhole(
            *rawStream(variant.version, variant.framing, variant.body, RawAnswer::After::Close),
            events);
    }
}

// Resets, missing chunks and incomplete bodies are no end.
BOOST_FIXTURE_TEST_CASE(BrokenFramingIsNoEnd, Fixture)
{
    const QByteArray events = eventText(1, "\n") + eventText(2, "\n");
    const QByteArray chunk = QByteArray::number(events.size(), 16) + "\r\n" + events;
    const QByteArray chunked = "Transfer-Encoding: chunked\r\n";
    const QByteArray longer = "Content-Length: " + QByteArray::number(events.size() + 1) + "\r\n";
    const struct {
        const char *name;
        QByteArray framing;
        QByteArray body;
        RawAnswer::After after;
    } variants[] = {
        {"reset without a length", "", events, RawAnswer::After::Reset},
        {"a body shorter than its length", longer, events, RawAnswer::After::Close},
        {"a cut chunk", chunked, chunk, RawAnswer::After::Close},
        {"no last chunk", chunked, chunk + "\r\n", RawAnswer::After::Close},
        {"a cut size of the last chunk", chunked, chunk + "\r\n0", RawAnswer::After::Close},
        {"a cut last chunk", chunked, chunk + "\r\n0\r\n", RawAnswer::After::Close},
        {"a cut end of the last chunk", chunked, chunk + "\r\n0\r\n\r", RawAnswer::After::Close},
        {"a cut trailer", chunked, chunk + "\r\n0\r\nSum: 1\r\n", RawAnswer::After::Close},
        {"a reset after a cut chunk", chunked, chunk, RawAnswer::After::Reset},
    };
    for (const auto &variant : variants) {
        BOOST_TEST_CONTEXT(variant.name)
        {
            const auto call = rawStream("HTTP/1.1", variant.framing, variant.body, variant.after);
            // A reset may overtake the events; then there is no stream yet.
            BOOST_TEST((call->end == HttpExchangeEnd::Broken || call->response.status == 502));
            BOOST_TEST((call->response.status == 502 || events.startsWith(call->response.body)));
        }
    }
}
