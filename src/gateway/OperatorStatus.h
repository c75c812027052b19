#pragma once

#include <QJsonArray>

#include <functional>

namespace cranberry {

/// Sources of the parts of GET /v1/status. The part of an empty function is empty.
/// Thread safety: called only in the thread of the server.
struct OperatorStatus {
    std::function<bool()> ready;
    /// Objects with "vm", "data_centre", "state", "configuration_version" and, if known, the
    /// gateway's "url".
    std::function<QJsonArray()> members;
    /// Objects with "target", "service", "resident_tokens", "capacity_tokens", "running",
    /// "waiting", "leaving", "dead".
    std::function<QJsonArray()> targets;
    /// Objects with "workspace", "fingerprint", "until".
    std::function<QJsonArray()> quarantine;
    std::function<bool()> platformReachable;
};

} // namespace cranberry
