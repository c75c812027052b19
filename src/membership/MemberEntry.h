// Defines the CBOR form in which members tell each other of a member.
#pragma once

#include "membership/MemberView.h"

#include <QCborValue>

#include <optional>

namespace cranberry {

/// Thread-safe.
QCborValue memberToCbor(const Member &member);

/// Empty if @p value is not a well-formed entry. Thread-safe.
std::optional<Member> memberFromCbor(const QCborValue &value);

} // namespace cranberry
