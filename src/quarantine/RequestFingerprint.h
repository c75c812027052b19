// Defines RequestFingerprint, by which a request is known again when its caller sends it again.
#pragma once

#include "base/Ids.h"

#include <QByteArray>

namespace cranberry {

/// 32 hex digits.
using RequestFingerprint = StrongId<struct RequestFingerprintTag>;

/// The same for equal bodies of one workspace to one path only: a workspace can never have
/// another one's request held back. Thread-safe.
RequestFingerprint requestFingerprint(const WorkspaceId &workspace, const QByteArray &path,
                                      const QByteArray &body);

} // namespace cranberry
