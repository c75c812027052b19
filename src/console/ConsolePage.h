// Defines the files of the operators' console.
#pragma once

#include "http/HttpResponse.h"

#include <optional>

namespace cranberry {

/// The answer to a request for one of the console's files; nothing if @p path is none of
/// theirs or @p method is not GET. The files hold no secret. Thread-safe.
std::optional<HttpResponse> consolePage(const QByteArray &method, const QByteArray &path);

} // namespace cranberry
