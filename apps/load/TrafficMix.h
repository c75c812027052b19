// Defines TrafficMix, what kind of requests a load consists of.
#pragma once

#include "base/Units.h"

#include <QByteArray>
#include <QList>
#include <QString>

namespace cranberry::load {

struct TrafficMix {
    /// Keys of the workspaces; the first largeWorkspaces of them send largeFactor times as much
    /// as each of the others.
    QList<QByteArray> keys;
    int largeWorkspaces = 2;
    double largeFactor = 4;
    /// The last workspace sends this many times its share, on top of the rate.
    double greedyFactor = 1;
    /// Requests a second over all workspaces.
    double rate = 10;
    Milliseconds duration{10'000};

    QString model = QStringLiteral("m1");
    int maxTokens = 1024;
    /// Prompt lengths are lognormal.
    double promptMedianTokens = 120;
    double promptSigma = 0.6;
    /// Share of prompts that begin with one of the workspace's shared prefixes.
    double sharedPrefixShare = 0.5;
    int prefixesPerWorkspace = 3;
    int prefixTokens = 128;
    double chatShare = 0.2;
    /// Share of requests that are calls of the plain service.
    double plainShare = 0.1;
    QString plainService = QStringLiteral("status");
    double atMostOnceShare = 0.1;
    /// Deadline of every request; zero sends none.
    Milliseconds deadline{30'000};
};

} // namespace cranberry::load
