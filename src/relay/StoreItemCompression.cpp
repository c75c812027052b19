#include "relay/StoreItemCompression.h"

#include "relay/CborDocument.h"

#include <QCborArray>
#include <QCborValue>

namespace cranberry {

namespace {

/// The fastest level, as a VM has only about a tenth of a core.
constexpr int CompressionLevel = 1;

} // namespace

QByteArray compressItems(const QList<StoreItem> &items)
{
    if (items.isEmpty())
        return {};
    QCborArray rows;
    for (const StoreItem &item : items)
        rows.append(QCborArray{item.key, item.value, item.revision.value(), item.isRemoved});
    return qCompress(QCborValue(rows).toCbor(), CompressionLevel);
}

std::optional<QList<StoreItem>> decompressItems(const QByteArray &bytes)
{
    QList<StoreItem> items;
    if (bytes.isEmpty())
        return items;
    const std::optional<QCborValue> rows = decodeCborDocument(qUncompress(bytes));
    if (!rows || !rows->isArray())
        return std::nullopt;
    for (const QCborValue row : rows->toArray()) {
        const QCborArray fields = row.toArray();
        items.append({fields.at(0).toString(), fields.at(1).toByteArray(),
                      Revision(fields.at(2).toInteger()), fields.at(3).toBool()});
    }
    return items;
}

} // namespace cranberry
