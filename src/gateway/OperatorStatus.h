// Defines OperatorStatus, where the operators' status page takes its parts from.
#pragma once

#include <QJsonArray>

#include <functional>

namespace cranberry {

/// Each member gives one part of GET /v1/status; one that is empty gives an empty part.
/// Precondition: called in the thread of the server only.
struct OperatorStatus {
    std::function<bool()> ready;
    /// Objects with "vm", "data_centre", "state", "configuration_version", and the gateway's
    /// "url" if it is known.
    std::function<QJsonArray()> members;
    /// Objects with "target", "service", "resident_tokens", "capacity_tokens", "running",
    /// "waiting", "leaving", "dead".
    std::function<QJsonArray()> targets;
    /// Objects with "workspace", "fingerprint", "until".
    std::function<QJsonArray()> quarantine;
    std::function<bool()> platformReachable;
};

} // namespace cranberry
