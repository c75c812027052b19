#pragma once

#include "base/Units.h"
#include "http/BodyFraming.h"
#include "http/HttpHeaders.h"

#include <boost/beast/http/basic_parser.hpp>

namespace cranberry::internal {

/// Incremental parser of the responses in an HTTP exchange. Collects the output of Boost.Beast's
/// parser.
/// Thread safety: only from the thread of its exchange.
class HttpResponseParser final : public boost::beast::http::basic_parser<false>
{
public:
    using Error = boost::beast::error_code;

    HttpResponseParser();

    /// Parses bytes from the start of @p data and returns their number. Replaces put(), which does
    /// not set fault(). Precondition: fault() is null.
    std::size_t parse(const QByteArray &data, Error &ec);
    /// Why the header section is not valid although it was parsed; null if it is valid or not
    /// complete.
    const char *fault() const { return m_fault; }
    /// Memory of the header fields.
    Bytes heldBytes() const { return m_headerCost; }
    /// Size of the header section of a response without a body, once it is complete.
    Bytes headBytes() const { return m_headBytes; }

    int status() const { return m_status; }
    const HttpHeaders &headers() const { return m_headers; }
    BodyFraming framing() const;
    /// Returns the body bytes parsed since the last call.
    QByteArray takeBody() { return std::exchange(m_body, {}); }

private:
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

    int m_status = 0;
    HttpHeaders m_headers;
    /// The bytes of the header section until it is complete.
    QByteArray m_headText;
    Bytes m_headBytes{0};
    Bytes m_headerCost{0};
    const char *m_fault = nullptr;
    bool m_areHeadersComplete = false;
    QByteArray m_body;
};

} // namespace cranberry::internal
