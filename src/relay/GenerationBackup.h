#pragma once

#include "base/Ids.h"
#include "base/Units.h"
#include "http/HttpEndpoint.h"

namespace cranberry {

class TargetDirectory;

/// A copy of a running generation at a second engine. The engine that runs the generation sends new
/// output to the holder several times a second. If that engine crashes or leaves, the generation
/// resumes at the holder immediately, without waiting for links that other copies occupy. Accounts
/// for the memory of the copy during its lifetime.
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
    /// Whether the holder is present, is not leaving and accepts work.
    bool isUsable() const;

private:
    TargetDirectory &m_targets;
    TargetId m_holder;
    HttpEndpoint m_endpoint;
    Tokens m_tokens;
};

} // namespace cranberry
