// Defines RelayGateway, which takes callers' requests and starts their runs.
#pragma once

#include "base/Ids.h"
#include "base/Result.h"
#include "base/Units.h"
#include "relay/RelayConfiguration.h"
#include "relay/StoreSource.h"

#include <QHash>

#include <functional>
#include <memory>
#include <optional>

namespace cranberry {

class CallerReply;
class RelayRun;
struct Error;
struct HttpRequest;
struct RelayContext;
struct RelayRequest;

/// Thread safety: only from the thread of the event loop.
class RelayGateway
{
public:
    /// Precondition: @p context outlives the gateway. @p isCurrent tells whether the newest
    /// configuration is known for sure.
    RelayGateway(RelayContext &context, std::function<bool()> isCurrent);
    ~RelayGateway();

    void handle(const HttpRequest &request, const std::shared_ptr<CallerReply> &reply);

    /// Puts @p configuration in force; an older version than the one in force is ignored.
    /// @p by: its source; @p age: the maximum age of the copy that it replaces;
    /// @p encodedSize: its size in bytes as stored.
    void setConfiguration(RelayConfiguration configuration, StoreSource by, Milliseconds age,
                          qsizetype encodedSize);
    /// Null until one is known.
    const std::shared_ptr<const RelayConfiguration> &configuration() const
    {
        return m_configuration;
    }
    /// Requests that would outlast @p until are refused from now on.
    void drainUntil(MonotonicTime until) { m_drainUntil = until; }
    /// Tells the runs at @p target that it leaves.
    void targetLeaving(const TargetId &target);
    /// Tells the runs at @p target that it has ended with them.
    void targetLost(const TargetId &target);
    /// Engines at which streams of this daemon run.
    QList<TargetId> enginesWithStreams() const;
    /// Looks for streams whose engines have fallen silent; to be called several times a second.
    void checkSilence();
    int running() const { return int(m_runs.size()); }

private:
    Result<RelayRequest> admit(const HttpRequest &request) const;
    bool outlastsDrain(const RelayRequest &request, const RelayRoute &route) const;
    void refuse(const HttpRequest &request, const Error &error,
                const std::shared_ptr<CallerReply> &reply);
    void run(RelayRequest request, const RelayRoute &route,
             const std::shared_ptr<CallerReply> &reply);

    RelayContext &m_context;
    std::function<bool()> m_isCurrent;
    std::shared_ptr<const RelayConfiguration> m_configuration;
    std::optional<MonotonicTime> m_drainUntil;
    QHash<const RelayRun *, std::shared_ptr<RelayRun>> m_runs;
};

} // namespace cranberry
