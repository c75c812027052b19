// Defines RelayRoute, which requests go to which service, and how.
#pragma once

#include "base/Ids.h"
#include "base/Units.h"
#include "relay/RequestKind.h"

#include <QByteArray>
#include <QList>

namespace cranberry {

/// A service and its part of a route's requests.
struct ServiceShare {
    ServiceId service;
    int weight = 1;
};

struct RelayRoute {
    QString name;
    QByteArray host;
    /// Begins and ends with a slash.
    QByteArray prefix;
    RequestKind kind = RequestKind::AtMostOnce;
    /// Longest time in which the caller is to have its final answer.
    Milliseconds timeout{0};
    /// Time to the answer, or to the first event of a stream, that is on time.
    Milliseconds objective{0};
    /// 0 is the most urgent.
    int priority = 0;
    QList<ServiceShare> services;
    /// Targets that one request may be sent to.
    int mostTargets = 1;
    /// No key is needed.
    bool isOpen = false;
};

} // namespace cranberry
