#pragma once

#include "http/HttpClient.h"
#include "platformstore/KeyValueStore.h"

#include <QObject>

#include <map>

namespace cranberry {

/// Client of the platform's key-value service over HTTP, by the protocol in docs/PROTOCOLS.md.
/// Values must be UTF-8 text, because the service stores JSON strings; a write of other bytes
/// returns SwapOutcome::NotWritten.
/// Thread safety: only from its own thread, in which an event loop runs.
class HttpKeyValueStore final : public KeyValueStore
{
public:
    static constexpr Milliseconds DefaultTimeout{2000};

    /// @p timeout limits the total duration of writes and lease calls. For reads, lists and watches
    /// it limits the time without data from the service; for watches, the timeout of the watch is
    /// added.
    /// Precondition: @p timers outlives the store.
    HttpKeyValueStore(TimerService &timers, HttpEndpoint endpoint,
                      Milliseconds timeout = DefaultTimeout);
    ~HttpKeyValueStore() override;

    /// As HttpClient::setMemory().
    void setMemory(CallerMemory &memory) { m_client.setMemory(memory); }

    void read(const QString &key, ReadCallback callback) override;
    void list(const QString &prefix, ListCallback callback) override;
    void compareAndSwap(const QString &key, Revision expected, const QByteArray &value,
                        std::optional<LeaseId> lease, SwapCallback callback) override;
    void remove(const QString &key, Revision expected, SwapCallback callback) override;
    void watch(const QString &prefix, Revision after, Milliseconds timeout,
               ListCallback callback) override;
    void grantLease(Milliseconds duration, LeaseCallback callback) override;
    void renewLease(LeaseId lease, LeaseCallback callback) override;
    void listVms(VmsCallback callback) override;

private:
    using AnswerCallback = std::function<void(HttpExchangeEnd, const HttpResponse &)>;

    void call(const HttpRequest &request, Milliseconds timeout, AnswerCallback callback);
    void finishCall(qint64 id, HttpExchangeEnd end, const HttpResponse &response);

    struct Call {
        std::unique_ptr<HttpExchange> exchange;
        AnswerCallback callback;
    };

    HttpEndpoint m_endpoint;
    Milliseconds m_timeout;
    HttpClient m_client;
    std::map<qint64, Call> m_calls;
    qint64 m_lastCallId = 0;
    /// Receiver of queued callbacks; its destruction discards those still queued.
    QObject m_context;
};

} // namespace cranberry
