// Defines OutputForecast, how much output is expected of a request.
#pragma once

#include "base/Units.h"

#include <QHash>
#include <QString>

namespace cranberry {

struct RelayRequest;

/// An answer of so few tokens is made in less time than its prompt is read: it holds memory so
/// briefly that a late one delays nobody.
constexpr Tokens BriefOutput{64};

/// Forecasts the output of a request from what its caller expects and from the answers of its route
/// so far. Callers' figures are right at the median but spread widely: answers announced
/// as short are longer than that on average, those announced as long are shorter.
/// Thread safety: only from the thread of the event loop.
class OutputForecast
{
public:
    /// Tokens that the answer to @p request on @p route will have on average; at least one, and
    /// at most what the request allows.
    Tokens expected(const QString &route, const RelayRequest &request) const;
    /// An answer on @p route ended whole with @p output tokens.
    void finished(const QString &route, Tokens output);

private:
    struct RouteLengths {
        int answers = 0;
        /// Sum of the natural logarithms of the outputs.
        double logarithms = 0;
    };

    double typicalLogarithm(const QString &route, Tokens most) const;

    QHash<QString, RouteLengths> m_routes;
};

} // namespace cranberry
