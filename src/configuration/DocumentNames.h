#pragma once

#include "configuration/Configuration.h"

#include <QJsonValue>
#include <QStringList>

#include <array>

namespace cranberry::internal {

/// Name of an enumerator in the configuration document.
template <typename Enum>
struct EnumeratorName {
    const char *name;
    Enum value;
};

inline constexpr std::array<EnumeratorName<ServiceKind>, 2> ServiceKindNames{{
    {"model", ServiceKind::Model},
    {"plain", ServiceKind::Plain},
}};

inline constexpr std::array<EnumeratorName<Objective>, 2> ObjectiveNames{{
    {"stall", Objective::Stall},
    {"inter_token", Objective::InterToken},
}};

inline constexpr std::array<EnumeratorName<PolicyName>, 4> PolicyNames{{
    {"round_robin", PolicyName::RoundRobin},
    {"least_requests", PolicyName::LeastRequests},
    {"two_choices", PolicyName::TwoChoices},
    {"forecast", PolicyName::Forecast},
}};

/// All names in @p table, in the order of the table. Thread-safe.
template <typename Table>
QStringList namesOf(const Table &table)
{
    QStringList names;
    for (const auto &row : table)
        names.append(QString::fromLatin1(row.name));
    return names;
}

/// The enumerator with the name @p json, or @p fallback if there is none. Thread-safe.
template <typename Table, typename Enum>
Enum enumeratorNamed(const Table &table, const QJsonValue &json, Enum fallback)
{
    for (const auto &row : table) {
        if (json.toString() == QLatin1String(row.name))
            return row.value;
    }
    return fallback;
}

} // namespace cranberry::internal
