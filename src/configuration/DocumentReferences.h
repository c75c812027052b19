// Defines the checks of what one part of a configuration document says of another.
#pragma once

#include "configuration/DocumentRules.h"

class QJsonObject;

namespace cranberry::internal {

/// Appends every name that leads nowhere, key hashes in two workspaces, and two targets at
/// one address. Values of a wrong type are passed over: the rules report them. Thread-safe.
void checkReferences(const QJsonObject &document, Faults &faults);

} // namespace cranberry::internal
