#pragma once

#include "base/Ids.h"

#include <QByteArray>

namespace cranberry {

/// Identifies a request when its caller sends it again; 32 hex digits.
using RequestFingerprint = StrongId<struct RequestFingerprintTag>;

/// Equal only for equal bodies sent by one workspace to one path, so a workspace cannot cause
/// another workspace's request to be quarantined. Thread-safe.
RequestFingerprint requestFingerprint(const WorkspaceId &workspace, const QByteArray &path,
                                      const QByteArray &body);

} // namespace cranberry
