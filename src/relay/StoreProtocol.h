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
#include <optional>

namespace cranberry {

/// Pure translation: no function keeps state or chooses. Every member is set.
/// Thread safety: as its functions; those of the adapters are thread-safe.
struct StoreProtocol {
    /// A page of the keys that begin with @p prefix, from behind the key @p after.
    std::function<HttpRequest(const QString &prefix, const QString &after)> range;
    std::function<HttpRequest(const QString &prefix, Revision after, Milliseconds wait)> watch;
    /// All keys that begin with @p prefix, perhaps as they were some seconds ago; costs less.
    std::function<HttpRequest(const QString &prefix)> staleRange;
    std::function<StoreAnswer(const HttpResponse &)> readItems;
    std::function<HttpRequest(Milliseconds duration)> grantLease;
    std::function<Result<LeaseId>(const HttpResponse &)> readLease;
    std::function<HttpRequest(LeaseId lease)> renewLease;
    std::function<HttpRequest(LeaseId lease)> endLease;
    /// Writes a key that vanishes with @p lease, whatever it held before.
    std::function<HttpRequest(const QString &key, const QByteArray &value, LeaseId lease)> writeKey;
    /// All keys that the operator writes begin with it.
    QString operatorPrefix;
    /// Keys under which configuration and targets stand.
    QString configurationKey;
    QString targetPrefix;
    std::function<Result<RelayConfiguration>(const QByteArray &value)> readConfiguration;
    /// The data centre that is evacuated as long as @p key is there; none for other keys.
    std::function<std::optional<DataCentreId>(const QString &key)> evacuatedDataCentre;
    std::function<Result<RelayTarget>(const QString &key, const QByteArray &value)> readTarget;
};

} // namespace cranberry
