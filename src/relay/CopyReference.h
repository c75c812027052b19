// Defines CopyReference, a copy of a generation's memory at an engine.
#pragma once

#include "http/HttpEndpoint.h"

#include <QByteArray>

namespace cranberry {

struct CopyReference {
    HttpEndpoint source;
    /// What the source calls the copy.
    QByteArray handle;
};

} // namespace cranberry
