#include "relay/GenerationBackup.h"

#include "relay/TargetDirectory.h"

namespace cranberry {

GenerationBackup::GenerationBackup(TargetDirectory &targets, const TargetId &holder, Tokens tokens)
    : m_targets(targets)
    , m_holder(holder)
    , m_endpoint(targets.find(holder)->entry.endpoint)
    , m_tokens(tokens)
{
    m_targets.backupPlaced(m_holder, m_tokens);
}

GenerationBackup::~GenerationBackup()
{
    m_targets.backupEnded(m_holder, m_tokens);
}

bool GenerationBackup::isUsable() const
{
    return m_targets.takesWork(m_holder);
}

} // namespace cranberry
