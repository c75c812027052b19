#pragma once

#include <QCborValue>

#include <optional>

namespace cranberry {

/// Decodes @p bytes, which must be exactly one value. QCborValue::fromCbor() returns the elements
/// before the error if an array or a map is truncated. Thread-safe.
std::optional<QCborValue> decodeCborDocument(const QByteArray &bytes);

} // namespace cranberry
