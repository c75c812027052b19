// Tests the fields that follow the last chunk of a body.
#define BOOST_TEST_MODULE TrailerFields
#include <boost/test/unit_test.hpp>

#include "http/HttpResponseParser.h"
#include "support/EventLoop.h"
#include "support/PlatformSite.h"

#include <QTcpSocket>

using namespace cranberry;

namespace {

const QByteArray Trailers = "Cranberryquay-Hold: room\r\nCranberryquay-Request-Priority: 0\r\n"
                            "Host: other.example\r\nX-Own: value\r\n";

/// Whether @p headers have a field that was only in the trailers.
bool hasTrailers(const HttpHeaders &headers)
{
    return headers.contains("Cranberryquay-Hold")
        || headers.contains("Cranberryquay-Request-Priority") || headers.contains("X-Own")
        || headers.value("Host").contains("other");
}

} // namespace

// Guards against trailers that targets take for headers of the request.
BOOST_AUTO_TEST_CASE(TrailersOfRequestsAreNotForwarded)
{
    test::PlatformSite site;
    site.configure(1);
    standin::RunnerEmulator &runner = site.addRunner("plain", "plain");
    site.startDaemon();
    QTcpSocket socket;
    socket.connectToHost(QHostAddress::LocalHost, site.callers(0).port);
    socket.write("POST /safe/a HTTP/1.1\r\nHost: site.example\r\nAuthorization: Bearer key\r\n"
                 "Cranberryquay-Deadline-Ms: 15000\r\nCranberryquay-Request-Id: trailers\r\n"
                 "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n"
                 + Trailers + "\r\n");
    QByteArray answer;
    BOOST_TEST(test::waitFor([&] {
        answer += socket.readAll();
        return answer.contains("\r\n\r\n");
    }));
    BOOST_TEST(answer.startsWith("HTTP/1.1 200"));
    BOOST_REQUIRE(runner.ran().size() == 1);
    BOOST_TEST((runner.ran().first().body == "hello"));
    BOOST_TEST(!hasTrailers(runner.ran().first().headers));
}

// Guards against trailers that count as headers of the response of a target or of the store.
BOOST_AUTO_TEST_CASE(TrailersOfResponsesAreNoHeaders)
{
    internal::HttpResponseParser parser;
    const QByteArray text =
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n" + Trailers
        + "\r\n";
    boost::beast::error_code error;
    qsizetype used = 0;
    while (!error && !parser.is_done() && used < text.size())
        used += qsizetype(parser.parse(text.mid(used), error));
    BOOST_TEST(!error);
    BOOST_TEST(parser.is_done());
    BOOST_TEST((parser.takeBody() == "hello"));
    BOOST_TEST(!hasTrailers(parser.headers()));
}
