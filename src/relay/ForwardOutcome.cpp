#include "relay/ForwardOutcome.h"

#include "http/HttpHeaders.h"

#include <algorithm>
#include <array>

namespace cranberry {

namespace {

constexpr char OutcomeHeader[] = "Forward-Outcome";
/// Set anew for the caller's connection.
constexpr std::array<const char *, 4> ConnectionHeaders{"Connection", "Keep-Alive",
                                                        "Content-Length", "Transfer-Encoding"};

bool isNamed(const HttpHeaders::Field &field, const char *name)
{
    return field.first.compare(name, Qt::CaseInsensitive) == 0;
}

} // namespace

const char *forwardOutcomeName(ForwardOutcome outcome)
{
    switch (outcome) {
    case ForwardOutcome::Answered:
        return "answered";
    case ForwardOutcome::NotTaken:
        return "not_taken";
    case ForwardOutcome::NotRun:
        return "not_run";
    case ForwardOutcome::MayHaveRun:
        return "may_have_run";
    case ForwardOutcome::Broken:
        return "broken";
    case ForwardOutcome::Abandoned:
        return "abandoned";
    }
    return "unknown";
}

HttpHeaders withForwardOutcome(const HttpHeaders &headers, ForwardOutcome outcome)
{
    HttpHeaders result;
    for (const HttpHeaders::Field &field : headers.fields()) {
        if (!isNamed(field, OutcomeHeader))
            result.add(field.first, field.second);
    }
    result.add(OutcomeHeader, forwardOutcomeName(outcome));
    return result;
}

std::optional<ForwardOutcome> forwardOutcomeOf(const HttpHeaders &headers)
{
    const QByteArray name = headers.value(OutcomeHeader);
    for (const ForwardOutcome outcome : {ForwardOutcome::Answered, ForwardOutcome::NotTaken,
                                         ForwardOutcome::NotRun, ForwardOutcome::MayHaveRun}) {
        if (name == forwardOutcomeName(outcome))
            return outcome;
    }
    return std::nullopt;
}

HttpHeaders callerHeadersOf(const HttpHeaders &headers)
{
    HttpHeaders result;
    for (const HttpHeaders::Field &field : headers.fields()) {
        const bool isForConnection =
            std::any_of(ConnectionHeaders.begin(), ConnectionHeaders.end(),
                        [&](const char *name) { return isNamed(field, name); });
        if (!isForConnection && !isNamed(field, OutcomeHeader))
            result.add(field.first, field.second);
    }
    return result;
}

} // namespace cranberry
