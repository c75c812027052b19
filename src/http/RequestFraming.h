#pragma once

#include "base/Units.h"

namespace cranberry {

/// The bytes of a request after its headers.
struct RequestFraming {
    /// Received, but kept until more arrive: a part of a chunk's header or of the trailers.
    Bytes unparsed{0};
    /// Parsed, with the headers of chunks.
    Bytes parsed{0};
    Bytes body{0};
};

/// Whether a request has more bytes that are neither headers nor body than one with @p maxHeaders
/// bytes of headers may have. Thread-safe.
bool isFramingTooLarge(const RequestFraming &framing, Bytes maxHeaders);

} // namespace cranberry
