#pragma once

#include "http/HttpResponse.h"

#include <optional>

namespace cranberry {

/// Returns the response to a request for one of the files of the operators' console; std::nullopt
/// if @p path is not one of them or @p method is not GET. The files contain no secrets, so no token
/// is required. Thread-safe.
std::optional<HttpResponse> consolePage(const QByteArray &method, const QByteArray &path);

} // namespace cranberry
