// Tests which header sections the client accepts as those of a response.
#define BOOST_TEST_MODULE ResponseHeads
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "http/HttpResponseParser.h"

#include <ostream>
#include <vector>

using namespace cranberry;
namespace data = boost::unit_test::data;

namespace {

struct HeadCase {
    const char *name;
    QByteArray text;
    bool isValid;
};

std::ostream &operator<<(std::ostream &out, const HeadCase &head)
{
    return out << head.name;
}

QByteArray withLine(const QByteArray &line)
{
    return "HTTP/1.1 200 OK\r\nX-First: 1\r\n" + line + "\r\nContent-Length: 0\r\n\r\n";
}

QByteArray withStatus(const QByteArray &status)
{
    return "HTTP/1.1 " + status + " Reason\r\nContent-Length: 0\r\n\r\n";
}

QByteArray withCoding(const QByteArray &coding)
{
    return "HTTP/1.1 200 OK\r\nTransfer-Encoding: " + coding + "\r\n\r\n";
}

const std::vector<HeadCase> Heads{
    {"200", withStatus("200"), true},
    {"299", withStatus("299"), true},
    {"599", withStatus("599"), true},
    {"100", withStatus("100"), true},
    {"103", withStatus("103"), true},
    {"000", withStatus("000"), false},
    {"001", withStatus("001"), false},
    {"099", withStatus("099"), false},
    {"101", withStatus("101"), false},
    {"600", withStatus("600"), false},
    {"999", withStatus("999"), false},
    {"two digits", withStatus("20"), false},
    {"four digits", withStatus("2000"), false},
    {"sign", withStatus("-20"), false},
    {"no reason", "HTTP/1.1 200 \r\nContent-Length: 0\r\n\r\n", true},
    {"control byte in the reason", "HTTP/1.1 200 O\x01K\r\nContent-Length: 0\r\n\r\n", false},
    {"HTTP/2.0", "HTTP/2.0 200 OK\r\nContent-Length: 0\r\n\r\n", false},
    {"whitespace before the version", " HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", false},
    {"field", withLine("X-Field: value"), true},
    {"field without a value", withLine("X-Field:"), true},
    {"whitespace in a value", withLine("X-Field: \t a  b\t "), true},
    {"byte over 127 in a value", withLine("X-Field: caf\xe9"), true},
    {"line that begins with a space", withLine(" X-Field: value"), false},
    {"line that begins with a tab", withLine("\tX-Field: value"), false},
    {"line of whitespace", withLine(" "), false},
    {"first line begins with a space", "HTTP/1.1 200 OK\r\n X: 1\r\nContent-Length: 0\r\n\r\n",
     false},
    {"last line begins with a space", "HTTP/1.1 200 OK\r\nX: 1\r\n Content-Length: 0\r\n\r\n",
     false},
    {"space before the colon", withLine("X-Field : value"), false},
    {"tab before the colon", withLine("X-Field\t: value"), false},
    {"space in a name", withLine("X Field: value"), false},
    {"no name", withLine(": value"), false},
    {"no colon", withLine("X-Field"), false},
    {"NUL in a name", withLine(QByteArray("X-\0Field: value", 15)), false},
    {"control byte in a name",
     withLine("X-\x01"
              "Field: value"),
     false},
    {"DEL in a name",
     withLine("X-\x7f"
              "Field: value"),
     false},
    {"byte over 127 in a name",
     withLine("X-\xe9"
              "Field: value"),
     false},
    {"NUL in a value", withLine(QByteArray("X-Field: a\0z", 12)), false},
    {"control byte in a value", withLine("X-Field: a\x01z"), false},
    {"bare CR", withLine("X-Field: a\rX-Other: b"), false},
    {"bare LF", withLine("X-Field: a\nX-Other: b"), false},
    {"chunked", withCoding("chunked"), true},
    {"chunked in capitals", withCoding("Chunked"), true},
    {"gzip", withCoding("gzip"), false},
    {"unknown coding", withCoding("xchunked"), false},
    {"coding after chunked", withCoding("chunked, identity"), false},
    {"coding before chunked", withCoding("gzip, chunked"), false},
    {"chunked twice", withCoding("chunked\r\nTransfer-Encoding: chunked"), false},
    {"chunked and a length", withCoding("chunked\r\nContent-Length: 3"), false},
    {"two lengths", withLine("Content-Length: 3"), false},
    {"negative length", "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n", false},
    {"length with a letter", "HTTP/1.1 200 OK\r\nContent-Length: 1a\r\n\r\n", false},
};

/// Whether the parser accepts @p text, given to it in pieces of @p size bytes.
bool isAccepted(const QByteArray &text, qsizetype size)
{
    internal::HttpResponseParser parser;
    QByteArray pending;
    for (qsizetype at = 0; at < text.size() && !parser.is_header_done(); at += size) {
        pending += text.mid(at, size);
        internal::HttpResponseParser::Error error;
        pending.remove(0, qsizetype(parser.parse(pending, error)));
        if (parser.fault() || (error && error != boost::beast::http::error::need_more))
            return false;
    }
    return parser.is_header_done();
}

} // namespace

// Guards against a broken header section that is accepted, however its bytes arrive.
BOOST_DATA_TEST_CASE(HeadsAreJudgedInPiecesOfEachSize, data::make(Heads))
{
    for (qsizetype size = 1; size <= sample.text.size(); ++size) {
        BOOST_TEST_CONTEXT("pieces of " << size)
        BOOST_TEST(isAccepted(sample.text, size) == sample.isValid);
    }
}
