#pragma once

#include "membership/MemberView.h"

#include <QCborValue>

#include <optional>

namespace cranberry {

/// The CBOR form of @p member in heartbeats. Thread-safe.
QCborValue memberToCbor(const Member &member);

/// Empty if @p value is not a well-formed entry. Thread-safe.
std::optional<Member> memberFromCbor(const QCborValue &value);

} // namespace cranberry
