#pragma once

#include "base/Ids.h"
#include "base/Units.h"
#include "relay/RequestKind.h"

#include <QByteArray>
#include <QList>

namespace cranberry {

/// A service with its share of the requests of a route.
struct ServiceShare {
    ServiceId service;
    int weight = 1;
};

/// Assigns the requests of a host and path prefix to services.
struct RelayRoute {
    QString name;
    QByteArray host;
    /// Starts and ends with a slash.
    QByteArray prefix;
    RequestKind kind = RequestKind::AtMostOnce;
    /// Maximum time until the caller has its final answer.
    Milliseconds timeout{0};
    /// Target time until the answer, or until the first event of a stream.
    Milliseconds objective{0};
    /// The longest pause between two events of a stream that is on time; zero if not bounded.
    Milliseconds maxPause{0};
    /// 0 is the highest priority; in a request, combined with that of its workspace.
    int priority = 0;
    QList<ServiceShare> services;
    /// Maximum number of attempts after which the request may have run.
    int maxAttempts = 1;
    /// Requests need no API key.
    bool allowsAnonymous = false;
};

} // namespace cranberry
