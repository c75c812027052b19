// Tests answers that targets break off inside their heads, and what the client receives then.
#define BOOST_TEST_MODULE TornHeads
#include <boost/test/unit_test.hpp>

#include "standins/users/RawRunner.h"
#include "support/PlatformSite.h"

#include <QSet>

using namespace cranberry;
using standin::RawAnswer;
using standin::RawRunner;

namespace {

/// A site whose only target of each service breaks its answers off.
struct Fixture {
    Fixture()
    {
        for (const char *service : {"plain", "model"}) {
            const QByteArray entry = QByteArray(R"({"service": ")") + service
                + R"(", "zone": "hall", "slots": 8, "state": "ready", "address": "127.0.0.1:)"
                + QByteArray::number(target.endpoint().port) + "\"}";
            site.store().put(QStringLiteral("servers/") + QLatin1String(service), entry);
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
        const QByteArray head = "HTTP/1.1 200 OK\r\nCranberryquay-Request-Id: " + id
            + "\r\nCranberryquay-Response-Seal: s\r\n" + framing + "\r\n";
        cutAt = std::min(cutAt, head.size() - 1);
        return {head.left(cutAt), after};
    }

    /// Checks that a client gets no answer that looks like the target's.
    void checkCut(const QByteArray &path, const HttpHeaders &headers)
    {
        for (const RawAnswer::After end : {RawAnswer::After::Close, RawAnswer::After::Reset}) {
            for (const QByteArray &field :
                 {QByteArray("Content-Length: 5\r\n"), QByteArray("Transfer-Encoding: chunked\r\n"),
                  QByteArray()}) {
                for (const qsizetype size : {0, 1, 9, 12, 15, 16, 17, 40, 60, 90, 1000}) {
                    after = end;
                    framing = field;
                    cutAt = size;
                    const QByteArray id = "r" + QByteArray::number(++requests);
                    const auto call = site.call(daemon, "POST", path, id, headers);
                    BOOST_TEST_CONTEXT(path.data() << " cut at " << cutAt << ' ' << field.data())
                    {
                        // A target that fails so often may get no request for a while.
                        BOOST_TEST(call->response.status == (reached.contains(id) ? 502 : 503));
                        BOOST_TEST((call->end == HttpExchangeEnd::Complete));
                        BOOST_TEST(!call->response.headers.contains("Cranberryquay-Response-Seal"));
                    }
                }
            }
        }
        BOOST_TEST(reached.size() > requests / 2);
    }

    test::PlatformSite site;
    QByteArray framing;
    qsizetype cutAt = 0;
    RawAnswer::After after = RawAnswer::After::Close;
    RawRunner target{[this](const QByteArray &request) { return answerTo(request); }};
    int daemon = -1;
    int requests = 0;
    /// Ids of the requests that reached the target.
    QSet<QByteArray> reached;
};

} // namespace

// Guards against an empty body that looks whole: the target closed its connection inside the head.
BOOST_FIXTURE_TEST_CASE(AtMostOnceRequestsFail, Fixture)
{
    checkCut("/unsafe/a", {});
}

BOOST_FIXTURE_TEST_CASE(StreamsFail, Fixture)
{
    checkCut("/model/a", test::PlatformSite::generation());
}
