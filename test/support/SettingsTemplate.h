// Renders a settings template as the users' platform does.
#pragma once

#include <QByteArray>
#include <QJsonObject>

namespace cranberry::test {

/// Fills in the placeholders and sections of @p text from @p fields. Numbers are written in their
/// shortest form. Throws std::runtime_error if a section has no end. Thread-safe.
QByteArray renderTemplate(const QByteArray &text, const QJsonObject &fields);

/// deploy/settings.json, rendered from @p fields. Thread-safe.
QByteArray renderedDeploySettings(const QJsonObject &fields);

} // namespace cranberry::test
