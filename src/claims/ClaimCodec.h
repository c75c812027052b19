#pragma once

#include "claims/Claim.h"

#include <QCborArray>
#include <QCborValue>

#include <optional>

namespace cranberry {

/// The CBOR encoding of @p claim in segments and in messages between daemons. Thread-safe.
QCborArray claimToCbor(const Claim &claim);

/// Empty if @p value is not well formed. Thread-safe.
std::optional<Claim> claimFromCbor(const QCborValue &value);

} // namespace cranberry
