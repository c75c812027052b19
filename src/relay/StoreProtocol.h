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

/// Encodes calls to the platform's store and decodes its answers. Pure translation: no function
/// keeps state or makes decisions. Every member is set.
/// Thread safety: that of its functions; those of the adapters are thread-safe.
struct StoreProtocol {
    /// Requests a page of the keys that begin with @p prefix, starting after the key @p after.
    std::function<HttpRequest(const QString &prefix, const QString &after)> range;
    std::function<HttpRequest(const QString &prefix, Revision after, Milliseconds wait)> watch;
    /// Requests all keys that begin with @p prefix, possibly as they were some seconds ago. Costs
    /// less.
    std::function<HttpRequest(const QString &prefix)> staleRange;
    std::function<StoreAnswer(const HttpResponse &)> readItems;
    std::function<HttpRequest(Milliseconds duration)> grantLease;
    std::function<Result<LeaseId>(const HttpResponse &)> readLease;
    std::function<HttpRequest(LeaseId lease)> renewLease;
    std::function<HttpRequest(LeaseId lease)> endLease;
    /// Writes a key that is removed when @p lease ends. Replaces any former value.
    std::function<HttpRequest(const QString &key, const QByteArray &value, LeaseId lease)> writeKey;
    /// The prefix of all keys that the operator writes.
    QString operatorPrefix;
    /// The key of the configuration and the prefix of the targets' keys.
    QString configurationKey;
    QString targetPrefix;
    std::function<Result<RelayConfiguration>(const QByteArray &value)> readConfiguration;
    /// The data centre that is evacuated while @p key exists; nullopt for other keys.
    std::function<std::optional<DataCentreId>(const QString &key)> evacuatedDataCentre;
    std::function<Result<RelayTarget>(const QString &key, const QByteArray &value)> readTarget;
};

} // namespace cranberry
