#include "relay/CborDocument.h"

#include <QCborStreamReader>

namespace cranberry {

std::optional<QCborValue> decodeCborDocument(const QByteArray &bytes)
{
    QCborStreamReader reader(bytes);
    const QCborValue value = QCborValue::fromCbor(reader);
    const bool isWhole =
        reader.lastError() == QCborError::NoError && reader.currentOffset() == bytes.size();
    return isWhole ? std::optional<QCborValue>(value) : std::nullopt;
}

} // namespace cranberry
