#pragma once

namespace cranberry {

class HttpHeaders;

/// Whether a message with @p headers has a transfer coding other than chunked. Its body is not
/// decoded, and where it ends is not known, so that its bytes could be taken for the next message.
/// Source: RFC 9112, section 6.3. Thread-safe.
bool hasOtherTransferCoding(const HttpHeaders &headers);

} // namespace cranberry
