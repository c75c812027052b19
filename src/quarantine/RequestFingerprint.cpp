#include "quarantine/RequestFingerprint.h"

#include <QCryptographicHash>

#include <initializer_list>

namespace cranberry {

namespace {

constexpr qsizetype FingerprintBytes = 16;

RequestFingerprint fingerprintOf(std::initializer_list<QByteArray> fields)
{
    QCryptographicHash hash(QCryptographicHash::Sha256);
    // Each field is prefixed with its size, so that different inputs never produce the same bytes.
    for (const QByteArray &field : fields) {
        hash.addData(QByteArray::number(field.size()) + ':');
        hash.addData(field);
    }
    return RequestFingerprint(QString::fromLatin1(hash.result().first(FingerprintBytes).toHex()));
}

} // namespace

RequestFingerprint requestFingerprint(const WorkspaceId &workspace, const QByteArray &path,
                                      const QByteArray &body)
{
    return fingerprintOf({workspace.text().toUtf8(), path, body});
}

RequestFingerprint partFingerprint(const ServiceId &service, const QByteArray &part)
{
    return fingerprintOf({"part", service.text().toUtf8(), part, {}});
}

} // namespace cranberry
