// Defines ConfigurationDaemon, the configuration part of one daemon on a shared table.
#pragma once

#include "base/QtTimerService.h"
#include "base/WorkerPool.h"
#include "configuration/ConfigurationStore.h"
#include "support/MemoryKeyValueStore.h"

namespace cranberry::test {

/// Thread safety: one thread, in which an event loop runs.
struct ConfigurationDaemon {
    /// The daemon's timers are @p timers; they outlive it.
    ConfigurationDaemon(std::shared_ptr<MemoryKeyValueTable> table, TimerService &timers);

    /// Loads and waits until that has ended. False if the platform could not be read.
    bool load();
    /// Submits @p document and waits for the result.
    SubmitResult submit(qint64 expected, const QJsonObject &document);
    /// Submits @p count documents, each after the one before. False if one is not accepted.
    bool submitMany(int count);

    MemoryKeyValueStore platform;
    WorkerPool workers{1};
    ConfigurationStore store;
    /// The versions told to a subscriber, in order.
    QList<qint64> inForce;
};

/// A small valid document whose model `m` allows @p maxTokens.
QJsonObject smallDocument(int maxTokens);

} // namespace cranberry::test
