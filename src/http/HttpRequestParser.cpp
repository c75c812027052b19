#include "http/HttpRequestParser.h"

#include "http/TransferCoding.h"

// The names of the overridden functions are Boost.Beast's.
// NOLINTBEGIN(readability-identifier-naming)
namespace cranberry::internal {

namespace {

/// Memory of a field beside its bytes: two arrays with their headers, and the place in the list.
constexpr qint64 FieldOverhead = 200;

QByteArray toByteArray(boost::beast::string_view view)
{
    return {view.data(), qsizetype(view.size())};
}

} // namespace

HttpRequestParser::HttpRequestParser(std::uint32_t headerLimit, std::uint64_t bodyLimit)
{
    eager(true);
    header_limit(headerLimit);
    body_limit(bodyLimit);
}

void HttpRequestParser::on_request_impl(boost::beast::http::verb, View method, View target, int,
                                        Error &)
{
    m_request.method = toByteArray(method);
    m_request.path = toByteArray(target);
}

void HttpRequestParser::on_response_impl(int, View, int, Error &) { }

void HttpRequestParser::on_field_impl(boost::beast::http::field, View name, View value, Error &)
{
    // Trailers are not headers (RFC 9110, section 6.5.1).
    if (m_areHeadersComplete)
        return;
    m_request.headers.add(toByteArray(name), toByteArray(value));
    m_headerCost += FieldOverhead + qint64(name.size() + value.size());
}

void HttpRequestParser::on_header_impl(Error &ec)
{
    m_areHeadersComplete = true;
    if (hasOtherTransferCoding(m_request.headers))
        ec = boost::beast::http::error::bad_transfer_encoding;
}

void HttpRequestParser::on_body_init_impl(const boost::optional<std::uint64_t> &, Error &) { }

std::size_t HttpRequestParser::on_body_impl(View body, Error &)
{
    m_request.body.append(body.data(), qsizetype(body.size()));
    return body.size();
}

void HttpRequestParser::on_chunk_header_impl(std::uint64_t, View, Error &) { }

std::size_t HttpRequestParser::on_chunk_body_impl(std::uint64_t, View body, Error &)
{
    m_request.body.append(body.data(), qsizetype(body.size()));
    return body.size();
}

void HttpRequestParser::on_finish_impl(Error &) { }

} // namespace cranberry::internal
// NOLINTEND(readability-identifier-naming)
