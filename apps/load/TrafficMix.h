#pragma once

#include "base/Units.h"

#include <QByteArray>
#include <QList>
#include <QString>

namespace cranberry::load {

/// The composition of a load.
struct TrafficMix {
    /// API keys, one per workspace. Each of the first largeWorkspaces workspaces sends largeFactor
    /// times as many requests as each of the others.
    QList<QByteArray> keys;
    int largeWorkspaces = 2;
    double largeFactor = 4;
    /// The last workspace sends this many times its share; the excess is added to the rate.
    double greedyFactor = 1;
    /// Requests per second over all workspaces.
    double rate = 10;
    /// Length of the arrival period.
    Milliseconds duration{10'000};

    QString model = QStringLiteral("m1");
    int maxTokens = 1024;
    /// Prompt lengths have a log-normal distribution.
    double promptMedianTokens = 120;
    double promptSigma = 0.6;
    /// Share of prompts that begin with one of the shared prefixes of the workspace.
    double sharedPrefixShare = 0.5;
    int prefixesPerWorkspace = 3;
    int prefixTokens = 128;
    double chatShare = 0.2;
    /// Share of requests that are calls of the plain service.
    double plainShare = 0.1;
    QString plainService = QStringLiteral("status");
    double atMostOnceShare = 0.1;
    /// Deadline of every request; zero for none.
    Milliseconds deadline{30'000};
};

} // namespace cranberry::load
