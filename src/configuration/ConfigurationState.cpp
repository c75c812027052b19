#include "configuration/ConfigurationState.h"

#include "configuration/ConfigurationDocument.h"

namespace cranberry {

ConfigurationState stateWithDocument(const ConfigurationState &state, ConfigurationVersion version,
                                     const QJsonObject &document)
{
    ConfigurationState next = state;
    next.version = version;
    next.document = document;
    next.fault.clear();
    // Whoever accepted the document found it valid. A daemon of an older build may not: it
    // goes on with the last version that it can read and says so, instead of serving nothing.
    Result<Configuration> read = configurationFromDocument(document, version);
    if (read.has_value())
        next.configuration = std::make_shared<const Configuration>(std::move(read).value());
    else
        next.fault = read.error().detail;
    return next;
}

ConfigurationState stateAfter(const ConfigurationState &state,
                              const QList<ConfigurationChange> &changes)
{
    if (changes.isEmpty())
        return state;
    QJsonObject document = state.document;
    for (const ConfigurationChange &change : changes)
        document = mergePatch(document, change.patch);
    return stateWithDocument(state, changes.last().version, document);
}

} // namespace cranberry
