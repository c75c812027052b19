#include "http/HttpResponseParser.h"

#include "http/ResponseHead.h"

#include <limits>

// The names of the overridden functions are Boost.Beast's.
// NOLINTBEGIN(readability-identifier-naming)
namespace cranberry::internal {

namespace {

/// Memory of a field beside its bytes: two arrays with their headers, and the place in the list.
constexpr qint64 FieldOverhead = 200;
constexpr std::uint32_t HeaderLimitBytes = 64 * 1024;
/// Boost 1.74 rejects every Content-Length as too large if the body limit is unset.
constexpr std::uint64_t NoBodyLimit = std::numeric_limits<std::uint64_t>::max();

} // namespace

HttpResponseParser::HttpResponseParser()
{
    eager(true);
    header_limit(HeaderLimitBytes);
    body_limit(NoBodyLimit);
}

std::size_t HttpResponseParser::parse(const QByteArray &data, Error &ec)
{
    const bool hadHeaders = is_header_done();
    const std::size_t used =
        put(boost::asio::const_buffer(data.constData(), size_t(data.size())), ec);
    if (hadHeaders)
        return used;
    m_headText += data.left(qsizetype(used));
    if (is_header_done()) {
        m_fault = responseHeadFault({m_status, m_headers, m_headText});
        m_headBytes = Bytes(m_headText.size());
        m_headText = {};
    } else if (m_headText.size() > qsizetype(HeaderLimitBytes)) {
        ec = boost::beast::http::error::header_limit;
    }
    return used;
}

BodyFraming HttpResponseParser::framing() const
{
    if (!is_header_done())
        return BodyFraming::Unknown;
    if (chunked())
        return BodyFraming::Chunks;
    return need_eof() ? BodyFraming::Connection : BodyFraming::Length;
}

void HttpResponseParser::on_request_impl(boost::beast::http::verb, View, View, int, Error &) { }

void HttpResponseParser::on_response_impl(int code, View, int, Error &)
{
    m_status = code;
}

void HttpResponseParser::on_field_impl(boost::beast::http::field, View name, View value, Error &)
{
    // Trailers are not headers (RFC 9110, section 6.5.1).
    if (m_areHeadersComplete)
        return;
    m_headers.add(QByteArray(name.data(), qsizetype(name.size())),
                  QByteArray(value.data(), qsizetype(value.size())));
    m_headerCost += Bytes(FieldOverhead + qint64(name.size() + value.size()));
}

void HttpResponseParser::on_header_impl(Error &)
{
    m_areHeadersComplete = true;
}

void HttpResponseParser::on_body_init_impl(const boost::optional<std::uint64_t> &, Error &) { }

std::size_t HttpResponseParser::on_body_impl(View body, Error &)
{
    m_body.append(body.data(), qsizetype(body.size()));
    return body.size();
}

void HttpResponseParser::on_chunk_header_impl(std::uint64_t, View, Error &) { }

std::size_t HttpResponseParser::on_chunk_body_impl(std::uint64_t, View body, Error &)
{
    m_body.append(body.data(), qsizetype(body.size()));
    return body.size();
}

void HttpResponseParser::on_finish_impl(Error &) { }

} // namespace cranberry::internal
// NOLINTEND(readability-identifier-naming)
