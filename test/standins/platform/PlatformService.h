// Defines PlatformService, which answers the platform's protocol in docs/PROTOCOLS.md.
#pragma once

#include "base/Units.h"
#include "standins/platform/KeyValueTable.h"
#include "standins/platform/PlatformFaults.h"

#include <QJsonArray>

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace cranberry {
class HttpResponder;
class TimerService;
class TimerSubscription;
struct HttpRequest;
} // namespace cranberry

namespace cranberry::standin {

/// The key-value service and VM list, with faults on request.
/// Thread safety: only from the thread of its timer service.
class PlatformService
{
public:
    using Responder = std::shared_ptr<HttpResponder>;

    explicit PlatformService(TimerService &timers);
    ~PlatformService();

    /// Answers @p request, now or later.
    void handle(const HttpRequest &request, const Responder &responder);

private:
    struct Watch {
        Responder responder;
        QString prefix;
        Revision after;
        std::unique_ptr<TimerSubscription> timeout;
    };
    struct Lease {
        Milliseconds duration{0};
        std::unique_ptr<TimerSubscription> expiry;
    };
    struct Counts {
        int reads = 0;
        int writes = 0;
        int watches = 0;
    };

    bool handleControl(const HttpRequest &request, const Responder &responder);
    void serve(const HttpRequest &request, const Responder &responder);
    void serveKey(const HttpRequest &request, const QString &key, const Responder &responder);
    void serveList(const HttpRequest &request, const Responder &responder);
    void serveLease(const HttpRequest &request, const Responder &responder);
    void startWatch(const HttpRequest &request, const QString &prefix, const Responder &responder);
    void answerWatches();
    void answerWrite(const QString &key, const Responder &responder, int status,
                     const QByteArray &body);
    bool losesAnswer(const QString &key);
    void armLease(LeaseId lease);
    void replaceVms(const QJsonArray &vms);
    void later(Milliseconds delay, std::function<void()> action);

    TimerService &m_timers;
    PlatformFaults m_faults;
    Counts m_counts;
    KeyValueTable m_table;
    QJsonArray m_vms;
    std::map<qint64, Watch> m_watches;
    std::map<qint64, Lease> m_leases;
    std::map<qint64, std::unique_ptr<TimerSubscription>> m_delayed;
    qint64 m_lastId = 0;
};

} // namespace cranberry::standin
