#include "gateway/WorkspaceKeys.h"

#include "configuration/Configuration.h"
#include "http/HttpRequest.h"

#include <QCryptographicHash>

namespace cranberry {

namespace {

const QByteArray BearerScheme = "Bearer ";

Error unauthorized(const QString &detail)
{
    return {ErrorKind::Unauthorized, Ran::No, detail, QStringLiteral("Authorization"), {}};
}

} // namespace

WorkspaceKeys::WorkspaceKeys(const Configuration &configuration)
{
    const auto &workspaces = configuration.workspaces;
    for (auto entry = workspaces.cbegin(); entry != workspaces.cend(); ++entry) {
        for (const QByteArray &hash : entry->keyHashes)
            m_byHash.insert(hash, entry.key());
    }
}

Result<WorkspaceId> WorkspaceKeys::authenticate(const HttpRequest &request) const
{
    const QByteArray header = request.headers.value("Authorization");
    if (!header.startsWith(BearerScheme))
        return unauthorized(
            QStringLiteral("send the workspace's key as \"Authorization: Bearer KEY\""));
    // Only hashes are compared, so the response time reveals nothing about a key.
    const QByteArray hash =
        QCryptographicHash::hash(header.mid(BearerScheme.size()), QCryptographicHash::Sha256)
            .toHex();
    const auto found = m_byHash.constFind(hash);
    if (found == m_byHash.constEnd())
        return unauthorized(QStringLiteral("the key does not belong to any workspace"));
    return found.value();
}

} // namespace cranberry
