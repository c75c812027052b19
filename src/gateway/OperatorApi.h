#pragma once

#include "base/Ids.h"
#include "base/Units.h"
#include "gateway/OperatorStatus.h"

#include <QByteArray>
#include <QObject>

#include <memory>

class QJsonObject;

namespace cranberry {

class ConfigurationStore;
class HttpResponder;
class WorkerPool;
struct Error;
struct HttpRequest;
struct SubmitResult;

/// The HTTP API by which operators read and change the configuration. Serves /v1/configuration,
/// /v1/configuration/validate and /v1/status to requests with the operator token, and the files
/// of the console, which contain no secrets, without authentication.
/// Thread safety: only from the thread of the server.
class OperatorApi : public QObject
{
public:
    /// An empty @p token refuses every request that needs one. Precondition: @p store and
    /// @p workers outlive the object.
    OperatorApi(VmId self, const QByteArray &token, ConfigurationStore &store, WorkerPool &workers,
                OperatorStatus status);
    ~OperatorApi() override;

    /// Answers @p request, possibly after returning, or returns false if the path is not its own.
    bool handle(const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder);

private:
    using Responder = std::shared_ptr<HttpResponder>;

    bool isAuthorized(const HttpRequest &request) const;
    void handleConfiguration(const HttpRequest &request, const Responder &responder);
    void handleValidate(const HttpRequest &request, const Responder &responder);
    void handleStatus(const Responder &responder);
    void show(const Responder &responder);
    void put(const HttpRequest &request, const Responder &responder);
    void submit(ConfigurationVersion expected, const QJsonObject &document,
                const Responder &responder);
    void answerSubmission(ConfigurationVersion expected, const SubmitResult &result,
                          const Responder &responder);

    const VmId m_self;
    /// SHA-256 of the token; empty if there is none.
    const QByteArray m_tokenHash;
    ConfigurationStore &m_store;
    WorkerPool &m_workers;
    const OperatorStatus m_status;
};

} // namespace cranberry
