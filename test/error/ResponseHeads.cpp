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

QByteArray withStatus(const QByteArray &status)
{
    return "HTTP/1.1 " + status + " Reason\r\nContent-Length: 0\r\n\r\n";
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
