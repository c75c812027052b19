// Defines WorkspaceKeys, the way from a caller's key to its workspace.
#pragma once

#include "base/Ids.h"
#include "base/Result.h"

#include <QHash>

namespace cranberry {

struct Configuration;
struct HttpRequest;

/// Index of one configuration's key hashes.
/// Thread safety: immutable after construction, so thread-safe.
class WorkspaceKeys
{
public:
    explicit WorkspaceKeys(const Configuration &configuration);

    /// The workspace whose key the Authorization header carries. Error Unauthorized.
    Result<WorkspaceId> authenticate(const HttpRequest &request) const;

private:
    QHash<QByteArray, WorkspaceId> m_byHash;
};

} // namespace cranberry
