#pragma once

#include <QByteArray>

namespace cranberry {

class HttpHeaders;

/// The header section of a response as it was received and parsed.
struct ResponseHead {
    int status = 0;
    const HttpHeaders &headers;
    /// The bytes from the status line on, at least until the empty line.
    const QByteArray &text;
};

/// Why @p head, which the parser accepted, is still not a valid response to a request of the
/// client; null if it is valid. An invalid one says nothing about the request.
/// Source: RFC 9112, sections 5.2 and 6.1; RFC 9110, section 15. Thread-safe.
const char *responseHeadFault(const ResponseHead &head);

/// Whether a response with @p status precedes the final one. Thread-safe.
bool isInterimStatus(int status);

} // namespace cranberry
