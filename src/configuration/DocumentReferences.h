#pragma once

#include "configuration/DocumentRules.h"

class QJsonObject;

namespace cranberry::internal {

/// Checks the constraints between sections and entries of a configuration document. Appends a
/// fault for each reference to a missing or unsuitable entry, each key hash used by two workspaces,
/// and each address used by two targets of model services. Ignores values of the wrong type, which
/// the document rules report. Thread-safe.
void checkReferences(const QJsonObject &document, Faults &faults);

} // namespace cranberry::internal
