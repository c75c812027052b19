// Tests answers of targets that never end.
#define BOOST_TEST_MODULE EndlessAnswers
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "support/EventLoop.h"
#include "support/PlatformSite.h"

#include <QFile>
#include <QTcpServer>
#include <QTcpSocket>

#include <ostream>
#include <vector>

using namespace cranberry;
namespace data = boost::unit_test::data;

namespace {

constexpr int Targets = 4;
constexpr int Requests = 60;
constexpr Milliseconds RequestInterval{33};
/// Bytes written at a time; the next ones follow as soon as they are sent.
constexpr int BlockBytes = 256 * 1024;
const QByteArray CallerDeadlineMs = "15000";
/// Far earlier than the callers' deadline.
constexpr Milliseconds AtOnce{5000};
constexpr qint64 MaxGrowthKilobytes = 48 * 1024;

struct EndlessForm {
    const char *name;
    bool isStream;
    QByteArray head;
    QByteArray block;
    /// The request is answered before the bytes without end.
    bool isAnswered = false;
};

std::ostream &operator<<(std::ostream &out, const EndlessForm &form)
{
    return out << form.name;
}

QByteArray chunk(const QByteArray &data)
{
    return QByteArray::number(data.size(), 16) + "\r\n" + data + "\r\n";
}

const QByteArray Filler = QByteArray(BlockBytes, 'x');
const QByteArray Sealed =
    "HTTP/1.1 200 OK\r\nCranberryquay-Response-Seal: seal\r\nCranberryquay-Request-Id: ID\r\n";
const QByteArray Chunked = Sealed + "Transfer-Encoding: chunked\r\n\r\n";
const QByteArray EventChunks =
    Sealed + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

const std::vector<EndlessForm> Forms{
    {"no end of line", false, {}, Filler},
    {"interim responses", false, {}, "HTTP/1.1 102 Processing\r\n\r\n"},
    {"headers", false, Sealed, "X-Filler: " + QByteArray(1000, 'x') + "\r\n"},
    {"body in chunks", false, Chunked, chunk(Filler)},
    {"body without length", false, Sealed + "Connection: close\r\n\r\n", Filler},
    {"body with length", false, Sealed + "Content-Length: 1000000000000\r\n\r\n", Filler},
    {"chunk extension", false, Chunked + "1;", Filler},
    {"error", false, "HTTP/1.1 500 Error\r\nTransfer-Encoding: chunked\r\n\r\n", chunk(Filler)},
    {"answer to another request", false,
     "HTTP/1.1 200 OK\r\nCranberryquay-Request-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n",
     chunk(Filler)},
    {"stream, an event", true, EventChunks, chunk(Filler)},
    {"stream, comments", true, EventChunks, chunk(": " + QByteArray(1000, 'x') + "\n")},
    {"stream, blank lines", true, EventChunks, chunk(QByteArray(BlockBytes, '\n'))},
    {"stream, body of an error", true, "HTTP/1.1 500 Error\r\nTransfer-Encoding: chunked\r\n\r\n",
     chunk(Filler)},
    {"after a whole answer", false,
     Sealed + "Keep-Alive: timeout=30\r\nContent-Length: 2\r\n\r\nok", Filler, true},
};

/// Writes the same bytes on each connection until it is closed.
class EndlessServer
{
public:
    explicit EndlessServer(EndlessForm form)
        : m_form(std::move(form))
    {
        m_server.listen(QHostAddress(QHostAddress::LocalHost), 0);
        QObject::connect(&m_server, &QTcpServer::newConnection, &m_server, [this] { accept(); });
    }

    HttpEndpoint endpoint() const { return {QStringLiteral("127.0.0.1"), m_server.serverPort()}; }
    /// Connections on which bytes without end are written.
    qsizetype endless() const { return m_endless.size(); }
    qint64 written() const { return m_written; }

private:
    void accept()
    {
        QTcpSocket *socket = m_server.nextPendingConnection();
        QObject::connect(socket, &QTcpSocket::readyRead, socket, [this, socket] { read(socket); });
        QObject::connect(socket, &QTcpSocket::bytesWritten, socket, [this, socket](qint64 bytes) {
            m_written += bytes;
            if (socket->bytesToWrite() == 0 && m_endless.contains(socket))
                fill(socket);
        });
        QObject::connect(socket, &QTcpSocket::disconnected, socket, [this, socket] {
            m_endless.remove(socket);
            socket->deleteLater();
        });
    }

    void read(QTcpSocket *socket)
    {
        const QByteArray request = socket->readAll();
        const bool isSystemCall = request.contains(" /v1/");
        if (isSystemCall) {
            const QByteArray body = R"({"hold":"room","kvTotal":100000})";
            socket->write("HTTP/1.1 200 OK\r\nContent-Length: " + QByteArray::number(body.size())
                          + "\r\n\r\n" + body);
            return;
        }
        const QByteArray name = "Cranberryquay-Request-Id: ";
        const qsizetype at = request.indexOf(name);
        if (at < 0)
            return;
        const QByteArray id = request.mid(at + name.size()).split('\r').first();
        QByteArray head = m_form.head;
        m_endless.insert(socket);
        socket->write(head.replace("ID", id));
        fill(socket);
    }

    void fill(QTcpSocket *socket) const
    {
        QByteArray bytes = m_form.block;
        while (bytes.size() < BlockBytes)
            bytes += m_form.block;
        socket->write(bytes);
    }

    const EndlessForm m_form;
    QSet<QTcpSocket *> m_endless;
    qint64 m_written = 0;
    QTcpServer m_server;
};

qint64 peakKilobytes(qint64 process)
{
    QFile file(QStringLiteral("/proc/%1/status").arg(process));
    if (!file.open(QIODevice::ReadOnly))
        return 0;
    const QByteArray text = file.readAll();
    const qsizetype at = text.indexOf("VmHWM:");
    return text.mid(at + qsizetype(sizeof("VmHWM:") - 1))
        .simplified()
        .split(' ')
        .first()
        .toLongLong();
}

} // namespace

BOOST_DATA_TEST_CASE(AnAnswerWithoutEndIsCutOff, data::make(Forms))
{
    // Guards against answers without end that fill the memory, or keep callers until their
    // deadline.
    test::PlatformSite site;
    EndlessServer server(sample);
    site.configure(1);
    const QByteArray service = sample.isStream ? "model" : "plain";
    for (int i = 0; i < Targets; ++i) {
        standin::RunnerEmulator &runner =
            site.addRunner("endless-" + QByteArray::number(i), service);
        runner.setAnnounced(server.endpoint());
        site.announce(runner, service, "ready");
    }
    site.startDaemon();
    const qint64 process = site.processes().first();
    const qint64 before = peakKilobytes(process);
    struct Call {
        MonotonicTime sentAt;
        std::shared_ptr<test::ClientCall> call;
    };
    std::vector<Call> calls;
    QtTimerService timers;
    Milliseconds longest{0};
    int statuses[600] = {};
    MonotonicTime next = timers.now();
    const auto collect = [&] {
        for (auto call = calls.begin(); call != calls.end();) {
            if (!call->call->isOver) {
                ++call;
                continue;
            }
            longest = std::max(
                longest, std::chrono::duration_cast<Milliseconds>(timers.now() - call->sentAt));
            ++statuses[call->call->end == HttpExchangeEnd::Complete ? call->call->response.status
                                                                    : 0];
            call = calls.erase(call);
        }
    };
    int sent = 0;
    test::waitFor([&] {
        for (; sent < Requests && next <= timers.now(); next += RequestInterval) {
            const QByteArray id = "e" + QByteArray::number(++sent);
            HttpHeaders headers =
                sample.isStream ? test::PlatformSite::generation() : HttpHeaders();
            headers.add("Cranberryquay-Deadline-Ms", CallerDeadlineMs);
            calls.push_back({timers.now(),
                             site.sendWithBody(0, sample.isStream ? "/model/a" : "/safe/a", id,
                                               "body", headers)});
        }
        collect();
        return sent == Requests && calls.empty();
    });
    const bool areClosed = test::waitFor([&] { return server.endless() == 0; });
    const qint64 growth = peakKilobytes(process) - before;
    BOOST_TEST_MESSAGE(sample << ": longest " << longest.count() << " ms, memory grew by " << growth
                              << " KB, 200: " << statuses[200] << ", 502: " << statuses[502]
                              << ", 503: " << statuses[503] << ", 504: " << statuses[504]
                              << ", none: " << statuses[0] << ", written "
                              << server.written() / 1024 << " KB, open " << server.endless());
    BOOST_TEST(sent == Requests);
    BOOST_TEST(calls.empty());
    BOOST_TEST(areClosed);
    BOOST_TEST((longest < AtOnce));
    BOOST_TEST(growth < MaxGrowthKilobytes);
    BOOST_TEST(statuses[sample.isAnswered ? 200 : 502] == Requests);
}
