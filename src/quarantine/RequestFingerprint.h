#pragma once

#include "base/Ids.h"

#include <QByteArray>

namespace cranberry {

/// Identifies a request when its caller sends it again; 32 hex digits.
using RequestFingerprint = StrongId<struct RequestFingerprintTag>;

/// Identifies the part of a prompt that callers call @p part, in all requests for @p service.
/// Workspaces are not kept apart: a part crashes targets whoever sends it. Thread-safe.
RequestFingerprint partFingerprint(const ServiceId &service, const QByteArray &part);

/// Equal only for equal bodies sent by one workspace to one path, so a workspace cannot cause
/// another workspace's request to be quarantined. Thread-safe.
RequestFingerprint requestFingerprint(const WorkspaceId &workspace, const QByteArray &path,
                                      const QByteArray &body);

} // namespace cranberry
