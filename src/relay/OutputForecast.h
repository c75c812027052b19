#pragma once

#include "base/Units.h"

#include <QHash>
#include <QString>

namespace cranberry {

struct RelayRequest;

/// Outputs up to this length take less time to generate than their prompt takes to read. They hold
/// memory so briefly that placing them late delays no other request.
constexpr Tokens ShortOutputLimit{64};

/// Estimates the output length from the hint of the caller and earlier answers on the same route.
/// Hints are accurate at the median but vary widely: answers with a short hint are longer than the
/// hint on average, answers with a long hint are shorter.
/// Thread safety: only from the thread of the event loop.
class OutputForecast
{
public:
    /// Expected mean output of @p request on @p route; at least one token and at most the maximum
    /// output of the request.
    Tokens expected(const QString &route, const RelayRequest &request) const;
    /// Records a complete answer on @p route with @p output tokens.
    void recordAnswer(const QString &route, Tokens output);

private:
    struct RouteLengths {
        int answers = 0;
        /// Sum of the natural logarithms of the output lengths.
        double logSum = 0;
    };

    double typicalLogLength(const QString &route, Tokens maxOutput) const;

    QHash<QString, RouteLengths> m_routes;
};

} // namespace cranberry
