#pragma once

#include "base/Units.h"
#include "http/HttpRequest.h"

#include <boost/beast/http/basic_parser.hpp>

namespace cranberry::internal {

/// Incremental parser of one request on a connection, including its complete body. Framing is as
/// strict as in Boost.Beast: a duplicate Content-Length, or one together with a chunked body, is an
/// error, and so is a transfer coding other than chunked. This prevents request smuggling.
/// Thread safety: only from the thread of its connection.
class HttpRequestParser final : public boost::beast::http::basic_parser<true>
{
public:
    HttpRequestParser(std::uint32_t headerLimit, std::uint64_t bodyLimit);

    /// The request, without trailers; its path holds the request target as received, including the
    /// query.
    const HttpRequest &request() const { return m_request; }
    /// Memory that the request takes.
    Bytes heldBytes() const { return Bytes(m_headerCost + m_request.body.capacity()); }
    /// True if a byte of the request was received.
    bool hasBegun() const { return m_begun; }
    void setBegun() { m_begun = true; }

private:
    using Error = boost::beast::error_code;
    using View = boost::beast::string_view;

    void on_request_impl(boost::beast::http::verb verb, View method, View target, int version,
                         Error &ec) override;
    void on_response_impl(int code, View reason, int version, Error &ec) override;
    void on_field_impl(boost::beast::http::field name, View nameText, View value,
                       Error &ec) override;
    void on_header_impl(Error &ec) override;
    void on_body_init_impl(const boost::optional<std::uint64_t> &length, Error &ec) override;
    std::size_t on_body_impl(View body, Error &ec) override;
    void on_chunk_header_impl(std::uint64_t size, View extensions, Error &ec) override;
    std::size_t on_chunk_body_impl(std::uint64_t remain, View body, Error &ec) override;
    void on_finish_impl(Error &ec) override;

    HttpRequest m_request;
    qint64 m_headerCost = 0;
    bool m_areHeadersComplete = false;
    bool m_begun = false;
};

} // namespace cranberry::internal
