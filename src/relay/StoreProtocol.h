// Defines StoreProtocol, how calls to the platform's store are written and read.
#pragma once

#include "base/Result.h"
#include "base/Units.h"
#include "http/HttpRequest.h"
#include "http/HttpResponse.h"
#include "relay/RelayConfiguration.h"
#include "relay/RelayTarget.h"
#include "relay/StoreAnswer.h"

#include <functional>

namespace cranberry {

/// Pure translation: no function keeps state or chooses. Every member is set.
/// Thread safety: as its functions; those of the adapters are thread-safe.
struct StoreProtocol {
    /// A page of the keys that begin with @p prefix, from behind the key @p after.
    std::function<HttpRequest(const QString &prefix, const QString &after)> range;
    std::function<HttpRequest(const QString &prefix, Revision after, Milliseconds wait)> watch;
    std::function<StoreAnswer(const HttpResponse &)> readItems;
    /// Keys under which configuration and targets stand.
    QString configurationKey;
    QString targetPrefix;
    std::function<Result<RelayConfiguration>(const QByteArray &value)> readConfiguration;
    std::function<Result<RelayTarget>(const QString &key, const QByteArray &value)> readTarget;
};

} // namespace cranberry
