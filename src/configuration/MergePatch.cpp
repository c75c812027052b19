#include "configuration/ConfigurationDocument.h"

namespace cranberry {

QJsonObject mergePatch(const QJsonObject &document, const QJsonObject &patch)
{
    QJsonObject result = document;
    for (auto it = patch.begin(); it != patch.end(); ++it) {
        if (it.value().isNull())
            result.remove(it.key());
        else if (it.value().isObject())
            result.insert(it.key(),
                          mergePatch(result.value(it.key()).toObject(), it.value().toObject()));
        else
            result.insert(it.key(), it.value());
    }
    return result;
}

QJsonObject mergePatchBetween(const QJsonObject &from, const QJsonObject &to)
{
    QJsonObject patch;
    for (auto it = from.begin(); it != from.end(); ++it) {
        if (!to.contains(it.key()))
            patch.insert(it.key(), QJsonValue::Null);
    }
    for (auto it = to.begin(); it != to.end(); ++it) {
        const QJsonValue before = from.value(it.key());
        if (before == it.value())
            continue;
        // If the old value is not an object, mergePatch() applies the patch to an empty object, so
        // the patch is computed against one as well.
        if (it.value().isObject())
            patch.insert(it.key(), mergePatchBetween(before.toObject(), it.value().toObject()));
        else
            patch.insert(it.key(), it.value());
    }
    return patch;
}

} // namespace cranberry
