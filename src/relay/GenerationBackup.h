// Defines GenerationBackup, a copy of a running generation that an engine keeps beside the
// original.
#pragma once

#include "base/Ids.h"
#include "base/Units.h"
#include "http/HttpEndpoint.h"

namespace cranberry {

class TargetDirectory;

/// The engine that runs the generation sends what it adds several times a second, so that the
/// generation can go on at the other one at once: when its own engine leaves, without a wait for
/// links that other copies take, and when it crashes.
/// Counts the memory of the copy as taken for as long as it lives.
/// Thread safety: only from the thread of the event loop.
class GenerationBackup
{
public:
    /// Precondition: @p targets outlives the backup; @p holder is known there.
    GenerationBackup(TargetDirectory &targets, const TargetId &holder, Tokens tokens);
    ~GenerationBackup();
    GenerationBackup(const GenerationBackup &) = delete;
    GenerationBackup &operator=(const GenerationBackup &) = delete;

    const TargetId &holder() const { return m_holder; }
    const HttpEndpoint &endpoint() const { return m_endpoint; }
    /// The holder is there, stays, and may be sent work.
    bool isUsable() const;

private:
    TargetDirectory &m_targets;
    TargetId m_holder;
    HttpEndpoint m_endpoint;
    Tokens m_tokens;
};

} // namespace cranberry
