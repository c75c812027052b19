#pragma once

#include "base/ErrorKind.h"
#include "base/Ids.h"
#include "base/LogRate.h"
#include "base/Result.h"
#include "base/Units.h"
#include "relay/RelayConfiguration.h"
#include "relay/StoreSource.h"

#include <QHash>

#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace cranberry {

class CallerReply;
class RelayRun;
struct Error;
struct HttpRequest;
struct RelayContext;
struct ForwardMessage;
struct RelayRequest;
struct RelayTask;

/// Admits callers' requests and starts their runs.
/// Thread safety: only from the thread of the event loop.
class RelayGateway
{
public:
    /// Precondition: @p context outlives the gateway. @p isCurrent returns whether the
    /// configuration is known to be the newest one.
    RelayGateway(RelayContext &context, std::function<bool()> isCurrent);
    ~RelayGateway();

    void handle(const HttpRequest &request, const std::shared_ptr<CallerReply> &reply);
    /// Processes a request that another daemon forwards because it cannot reach the service.
    void handleForwarded(const HttpRequest &request, const std::shared_ptr<CallerReply> &reply);

    /// Applies @p configuration; a version that is not newer than the current one is ignored. @p
    /// source: where it came from; @p age: the maximum age of the copy that it replaces; @p
    /// encodedSize: its size in bytes as stored.
    void setConfiguration(RelayConfiguration configuration, StoreSource source, Milliseconds age,
                          qsizetype encodedSize);
    /// Null until a configuration is known.
    const std::shared_ptr<const RelayConfiguration> &configuration() const
    {
        return m_configuration;
    }
    /// Limits the requests in progress to the time that RelayContext::shutdown leaves.
    void shutdownBegan();
    /// Notifies the runs at @p target that it is about to leave.
    void targetLeaving(const TargetId &target);
    /// Notifies the runs at @p target that it has ended.
    void targetLost(const TargetId &target);
    /// Engines that generate streams of this daemon.
    QList<TargetId> enginesWithStreams() const;
    /// Resumes streams from their backups whose engines have stopped sending; to be called several
    /// times a second.
    void checkSilence();
    int running() const { return int(m_runs.size()); }

private:
    Result<RelayRequest> admit(const HttpRequest &request) const;
    /// Whether a request that arrives now is unlikely to be answered before the daemon ends.
    bool outlastsShutdown(const RelayRequest &request, const RelayRoute &route) const;
    void refuse(const HttpRequest &request, const Error &error,
                const std::shared_ptr<CallerReply> &reply);
    void logRefused(const HttpRequest &request, const Error &error);
    void startRun(RelayRequest request, const RelayRoute &route,
                  const std::shared_ptr<CallerReply> &reply);
    void start(RelayTask task, const std::shared_ptr<CallerReply> &reply);
    /// Why @p message is not taken; empty if it is.
    QString forwardFault(const std::optional<ForwardMessage> &message,
                         const CallerReply &reply) const;

    RelayContext &m_context;
    std::function<bool()> m_isCurrent;
    std::map<ErrorKind, LogRate> m_refusedLines;
    std::shared_ptr<const RelayConfiguration> m_configuration;
    QHash<const RelayRun *, std::shared_ptr<RelayRun>> m_runs;
};

} // namespace cranberry
