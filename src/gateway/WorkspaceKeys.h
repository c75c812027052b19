#pragma once

#include "base/Ids.h"
#include "base/Result.h"

#include <QHash>

namespace cranberry {

struct Configuration;
struct HttpRequest;

/// Finds the workspace of a caller's API key by the key hashes of one configuration.
/// Thread safety: immutable after construction, so thread-safe.
class WorkspaceKeys
{
public:
    explicit WorkspaceKeys(const Configuration &configuration);

    /// Returns the workspace whose key the Authorization header contains. Error Unauthorized: the
    /// header contains no key of any workspace.
    Result<WorkspaceId> authenticate(const HttpRequest &request) const;

private:
    QHash<QByteArray, WorkspaceId> m_byHash;
};

} // namespace cranberry
