#include "quarantine/RequestFingerprint.h"

#include <QCryptographicHash>

namespace cranberry {

namespace {

constexpr qsizetype FingerprintBytes = 16;

} // namespace

RequestFingerprint requestFingerprint(const WorkspaceId &workspace, const QByteArray &path,
                                      const QByteArray &body)
{
    QCryptographicHash hash(QCryptographicHash::Sha256);
    // Each part is prefixed with its size, so that different inputs never produce the same bytes.
    for (const QByteArray &part : {workspace.text().toUtf8(), path, body}) {
        hash.addData(QByteArray::number(part.size()) + ':');
        hash.addData(part);
    }
    return RequestFingerprint(QString::fromLatin1(hash.result().first(FingerprintBytes).toHex()));
}

} // namespace cranberry
