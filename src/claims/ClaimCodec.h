// Defines the CBOR form of a claim, in segments and in messages between daemons.
#pragma once

#include "claims/Claim.h"

#include <QCborArray>
#include <QCborValue>

#include <optional>

namespace cranberry {

/// Thread-safe.
QCborArray claimToCbor(const Claim &claim);

/// Empty if @p value is not well formed. Thread-safe.
std::optional<Claim> claimFromCbor(const QCborValue &value);

} // namespace cranberry
