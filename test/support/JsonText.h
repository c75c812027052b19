// Defines helpers that turn text and files into JSON objects for tests.
#pragma once

#include <QFile>
#include <QJsonDocument>
#include <QJsonObject>

#include <stdexcept>

namespace cranberry::test {

/// The object that @p text states; throws if it states none.
inline QJsonObject jsonObject(const QByteArray &text)
{
    const QJsonDocument document = QJsonDocument::fromJson(text);
    if (!document.isObject())
        throw std::runtime_error("not a JSON object: " + text.toStdString());
    return document.object();
}

/// The object in the file at @p path below the source folder; throws if there is none.
inline QJsonObject sourceJson(const QString &path)
{
    QFile file(QStringLiteral(CRANBERRY_SOURCE_DIRECTORY "/") + path);
    if (!file.open(QIODevice::ReadOnly))
        throw std::runtime_error("cannot read " + path.toStdString());
    return jsonObject(file.readAll());
}

} // namespace cranberry::test
