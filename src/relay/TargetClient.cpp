#include "relay/TargetClient.h"

#include "relay/TargetAvailability.h"
#include "relay/TargetCall.h"
#include "relay/TargetProtocol.h"

namespace cranberry {

namespace {

/// A report names the generations and copies of an engine, of which there are some hundred at most.
constexpr Bytes MaxReport{64 * 1024};
/// Other calls are answered with one object.
constexpr Bytes MaxCallAnswer{16 * 1024};

Bytes maxAnswerTo(CallPurpose purpose)
{
    return purpose == CallPurpose::Report ? MaxReport : MaxCallAnswer;
}

} // namespace

TargetClient::TargetClient(HttpClient &client, const TargetProtocol &protocol,
                           TargetAvailability &availability)
    : m_client(client)
    , m_protocol(protocol)
    , m_availability(availability)
{
}

bool TargetClient::mayCall(const TargetCall &call) const
{
    return m_availability.mayCall(call);
}

std::unique_ptr<HttpExchange> TargetClient::send(const TargetCall &call, const HttpRequest &request,
                                                 const HttpExchangeOptions &options,
                                                 HttpExchangeCallbacks callbacks)
{
    std::optional<TargetAvailability::PendingAnswer> pending = m_availability.begin(call);
    if (!pending)
        return nullptr;
    callbacks.headers = [this, call, pending = std::move(*pending),
                         forward = std::move(callbacks.headers)](
                            int status, const HttpHeaders &headers) mutable {
        pending.reset();
        m_availability.recordAnswer(call, status, m_protocol.notice(call.target, status, headers));
        if (forward)
            forward(status, headers);
    };
    HttpExchangeOptions checked = options;
    checked.echoHeader = m_protocol.echoHeader;
    return m_client.send(call.endpoint, request, checked, std::move(callbacks));
}

std::unique_ptr<HttpExchange> TargetClient::fetch(const TargetCall &call,
                                                  const HttpRequest &request,
                                                  const HttpExchangeOptions &options,
                                                  HttpClient::ResponseCallback callback)
{
    HttpExchangeOptions bounded = collectingOptions(options);
    bounded.maxBody = maxAnswerTo(call.purpose);
    return send(call, request, bounded, collectingCallbacks(std::move(callback)));
}

} // namespace cranberry
