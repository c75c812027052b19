#pragma once

#include "http/HttpEndpoint.h"

#include <QByteArray>

namespace cranberry {

/// A copy of the memory of a generation at an engine.
struct CopyReference {
    HttpEndpoint source;
    /// Identifies the copy at the source.
    QByteArray handle;
};

} // namespace cranberry
