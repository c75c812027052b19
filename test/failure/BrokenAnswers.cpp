// Tests what a client receives if the head of a target's answer is no head of HTTP/1.1.
#define BOOST_TEST_MODULE BrokenAnswers
#include <boost/test/unit_test.hpp>

#include "standins/users/RawRunner.h"
#include "support/EventLoop.h"
#include "support/PlatformSite.h"

#include <QSet>
#include <QTcpSocket>

#include <vector>

using namespace cranberry;
using standin::RawAnswer;
using standin::RawRunner;

namespace {

/// Each failure counts against a target, so that there is one for each few requests.
constexpr int TargetsPerService = 40;
constexpr int MaxTries = 10;

const QByteArray Sealed = "Cranberryquay-Response-Seal: s\r\nCranberryquay-Request-Id: ID\r\n";
/// Before fields that may be joined to it.
const QByteArray Before = "X-Before: value\r\n";
const QByteArray Events = "id: 1\ndata: event 1\n\n";

struct Form {
    QByteArray name;
    QByteArray bytes;
    RawAnswer::After after = RawAnswer::After::KeepOpen;
};

QByteArray lengthField()
{
    return "Content-Length: " + QByteArray::number(Events.size()) + "\r\n";
}

QByteArray chunks()
{
    return QByteArray::number(Events.size(), 16) + "\r\n" + Events + "\r\n0\r\n\r\n";
}

/// An answer with the status line @p line and its body in each framing.
std::vector<Form> inEachFraming(const QByteArray &line)
{
    const QByteArray head = "HTTP/1.1 " + line + "\r\n" + Sealed;
    return {{line + ", length", head + lengthField() + "\r\n" + Events},
            {line + ", chunks", head + "Transfer-Encoding: chunked\r\n\r\n" + chunks()},
            {line + ", close", head + "\r\n" + Events, RawAnswer::After::Close}};
}

/// An answer with a length and @p field between its other fields.
Form withField(const QByteArray &name, const QByteArray &field)
{
    return {name,
            "HTTP/1.1 200 OK\r\n" + Sealed + Before + field + "\r\n" + lengthField() + "\r\n"
                + Events,
            RawAnswer::After::Close};
}

/// One daemon and targets of each service that all send the bytes that the test specifies.
struct Fixture {
    Fixture()
    {
        for (int i = 0; i < TargetsPerService; ++i) {
            for (const QByteArray service : {"plain", "model"}) {
                const QByteArray entry = R"({"service": ")" + service
                    + R"(", "zone": "hall", "slots": 8, "state": "ready", "address": "127.0.0.1:)"
                    + QByteArray::number(target.endpoint().port) + "\"}";
                site.store().put(QStringLiteral("servers/%1-%2").arg(service).arg(i), entry);
            }
        }
        site.configure(1);
        daemon = site.startDaemon();
    }

    RawAnswer answerTo(const QByteArray &request)
    {
        const QByteArray id = RawRunner::header(request, "Cranberryquay-Request-Id");
        if (id.isEmpty()) {
            const QByteArray body = R"({"hold": "h", "queued": 0, "running": 0, "kvUsed": 0,)"
                                    R"( "kvTotal": 100000})";
            return {"HTTP/1.1 200 OK\r\nContent-Length: " + QByteArray::number(body.size())
                    + "\r\n\r\n" + body};
        }
        reached.insert(id);
        QByteArray bytes = form.bytes;
        return {bytes.replace("ID", id), form.after};
    }

    /// All bytes that the client gets for a request that reached a target.
    QByteArray call(const QByteArray &path)
    {
        for (int tries = 0; tries < MaxTries; ++tries) {
            const QByteArray id = "r" + QByteArray::number(++requests);
            QTcpSocket socket;
            socket.connectToHost(QHostAddress::LocalHost, site.callers(daemon).port);
            QByteArray head = "POST " + path + " HTTP/1.1\r\nHost: site.example\r\n"
                + "Authorization: Bearer key\r\nCranberryquay-Deadline-Ms: 15000\r\n"
                + "Connection: close\r\nContent-Length: 0\r\nCranberryquay-Request-Id: " + id
                + "\r\n";
            const HttpHeaders generation = test::PlatformSite::generation();
            for (const HttpHeaders::Field &field : generation.fields())
                head += field.first + ": " + field.second + "\r\n";
            socket.write(head + "\r\n");
            QByteArray received;
            BOOST_TEST(test::waitFor([&] {
                received += socket.readAll();
                return socket.state() == QAbstractSocket::UnconnectedState;
            }));
            if (reached.contains(id))
                return received;
        }
        BOOST_ERROR("no request reached a target");
        return {};
    }

    void checkBroken(const std::vector<Form> &forms)
    {
        for (const QByteArray path : {"/safe/a", "/unsafe/a", "/model/a"}) {
            for (const Form &broken : forms) {
                form = broken;
                const QByteArray received = call(path);
                BOOST_TEST(received.startsWith("HTTP/1.1 502 "),
                           path.toStdString() << ", " << form.name.toStdString() << ": "
                                              << received.left(200).toStdString());
                BOOST_TEST(!received.contains("event 1"));
                BOOST_TEST(!received.contains("Cranberryquay-Response-Seal"));
            }
        }
    }

    void checkSound(const std::vector<Form> &forms, const QByteArray &status)
    {
        for (const QByteArray path : {"/safe/a", "/unsafe/a", "/model/a"}) {
            for (const Form &sound : forms) {
                form = sound;
                const QByteArray received = call(path);
                BOOST_TEST(received.startsWith("HTTP/1.1 " + status + ' '),
                           path.toStdString() << ", " << form.name.toStdString() << ": "
                                              << received.left(200).toStdString());
                BOOST_TEST(received.contains(Events));
                BOOST_TEST(received.contains("Cranberryquay-Response-Seal: s"));
                BOOST_TEST(!received.contains("X-Interim"));
            }
        }
    }

    test::PlatformSite site;
    Form form;
    RawRunner target{[this](const QByteArray &request) { return answerTo(request); }};
    int daemon = -1;
    int requests = 0;
    /// Ids of the requests that reached the target.
    QSet<QByteArray> reached;
};

} // namespace

// Guards against an answer whose status no protocol allows.
BOOST_FIXTURE_TEST_CASE(UnknownStatusesAreNotForwarded, Fixture)
{
    for (const char *status : {"000", "001", "099", "600", "666", "999"})
        checkBroken(inEachFraming(status + QByteArray(" Odd")));
}

// Guards against an interim response that is taken for the final one.
BOOST_FIXTURE_TEST_CASE(InterimResponsesAreNotFinal, Fixture)
{
    for (const char *status : {"100", "101", "102", "103", "199"}) {
        checkBroken({{status, "HTTP/1.1 " + QByteArray(status) + " Interim\r\n" + Sealed + "\r\n",
                      RawAnswer::After::Close}});
    }
    const QByteArray interim = "HTTP/1.1 103 Early Hints\r\nX-Interim: yes\r\n\r\n";
    for (const QByteArray &before : {interim, interim + "HTTP/1.1 100 Continue\r\n\r\n"}) {
        std::vector<Form> forms = inEachFraming("200 OK");
        for (Form &sound : forms)
            sound.bytes.prepend(before);
        checkSound(forms, "200");
    }
    // This client never asks for another protocol.
    std::vector<Form> switching = inEachFraming("200 OK");
    for (Form &broken : switching)
        broken.bytes.prepend("HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n");
    checkBroken(switching);
}

// Guards against a field whose name holds whitespace or a control byte, and a length hidden so.
BOOST_FIXTURE_TEST_CASE(InvalidFieldsAreNotForwarded, Fixture)
{
    std::vector<Form> forms{
        withField("begins with a space", " X-Field: value"),
        withField("begins with a tab", "\tX-Field: value"),
        withField("only whitespace", " "),
        withField("space before the colon", "X-Field : value"),
        withField("tab before the colon", "X-Field\t: value"),
        withField("space inside", "X Field: value"),
        withField("empty name", ": value"),
        withField("no colon", "X-Field"),
        withField("bare CR", "X-Field: a\rX-Other: b"),
        withField("bare LF", "X-Field: a\nX-Other: b"),
        withField("control byte in a value", "X-Field: a\x01z"),
        withField("NUL in a value", QByteArray("X-Field: a\0z", 12)),
        withField("NUL in a name", QByteArray("X-\0Field: value", 15)),
    };
    for (const char byte : {'\x01', '\x0b', '\x1f', '\x7f', '\xe9'})
        forms.push_back(withField("byte " + QByteArray::number(int(uchar(byte))) + " in a name",
                                  QByteArray("X-") + byte + "Field: value"));
    for (const char *start : {" ", "\t", "\x01", "X "}) {
        forms.push_back(
            {"hidden length",
             "HTTP/1.1 200 OK\r\n" + Sealed + Before + start + lengthField() + "\r\n" + Events,
             RawAnswer::After::Close});
        forms.push_back({"hidden chunks",
                         "HTTP/1.1 200 OK\r\n" + Sealed + Before + start
                             + "Transfer-Encoding: chunked\r\n\r\n" + chunks(),
                         RawAnswer::After::Close});
    }
    checkBroken(forms);
}

// Guards against a body in a transfer coding that is forwarded as if it were not encoded.
BOOST_FIXTURE_TEST_CASE(UnknownTransferCodingsAreNotForwarded, Fixture)
{
    std::vector<Form> forms;
    for (const char *coding : {"gzip", "xchunked", "chunked, identity", "gzip, chunked", "identity",
                               "chunked, chunked", "chunked\r\nTransfer-Encoding: gzip"}) {
        forms.push_back({coding,
                         "HTTP/1.1 200 OK\r\n" + Sealed + "Transfer-Encoding: " + coding
                             + "\r\n\r\n" + chunks(),
                         RawAnswer::After::Close});
    }
    checkBroken(forms);
}

// Guards against sound answers that are rejected with the broken ones.
BOOST_FIXTURE_TEST_CASE(SoundAnswersAreForwarded, Fixture)
{
    checkSound(inEachFraming("200 OK"), "200");
    checkSound(inEachFraming("299 Unknown"), "299");
    for (const QByteArray line : {"404 Not Found", "599 Unknown"}) {
        form = {line, "HTTP/1.1 " + line + "\r\n" + Sealed + lengthField() + "\r\n" + Events};
        BOOST_TEST(call("/unsafe/a").startsWith("HTTP/1.1 " + line.left(4)));
    }
    for (const QByteArray line : {"204 No Content", "304 Not Modified"}) {
        form = {line, "HTTP/1.1 " + line + "\r\n" + Sealed + "\r\n"};
        BOOST_TEST(call("/unsafe/a").startsWith("HTTP/1.1 " + line.left(4)));
    }
}
