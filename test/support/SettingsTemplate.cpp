#include "support/SettingsTemplate.h"

#include <QFile>
#include <QJsonArray>
#include <QJsonDocument>

#include <stdexcept>

namespace cranberry::test {

namespace {

/// An entry of a section, and the fields or the entry around it.
struct Scope {
    QJsonValue current;
    QByteArray key;
    bool isLast = true;
    const Scope *outer = nullptr;
};

QByteArray jsonText(const QJsonValue &value)
{
    if (value.isUndefined())
        return {};
    const QByteArray array = QJsonDocument(QJsonArray{value}).toJson(QJsonDocument::Compact);
    return array.mid(1, array.size() - 2);
}

QByteArray plainText(const QJsonValue &value)
{
    if (value.isString())
        return value.toString().toUtf8();
    if (!value.isArray())
        return jsonText(value);
    QByteArrayList entries;
    for (const QJsonValue entry : value.toArray())
        entries.append(plainText(entry));
    return entries.join(',');
}

QJsonValue member(const QJsonValue &value, const QByteArray &name)
{
    return value.isArray() ? value[qsizetype(name.toInt())] : value[QString::fromUtf8(name)];
}

QJsonValue find(const Scope &scope, const QByteArray &path)
{
    if (path == ".")
        return scope.current;
    const QByteArrayList names = path.split('.');
    for (const Scope *within = &scope; within; within = within->outer) {
        QJsonValue value = member(within->current, names.first());
        if (value.isUndefined())
            continue;
        for (const QByteArray &name : names.mid(1))
            value = member(value, name);
        return value;
    }
    return QJsonValue(QJsonValue::Undefined);
}

bool isSet(const QJsonValue &value)
{
    return !value.isUndefined() && !value.isNull() && !(value.isBool() && !value.toBool());
}

QByteArray render(const QByteArray &text, const Scope &scope);

QByteArray renderSection(const QByteArray &text, const Scope &scope, const QJsonValue &value)
{
    QList<Scope> entries;
    if (value.isArray()) {
        const QJsonArray array = value.toArray();
        for (qsizetype i = 0; i < array.size(); ++i)
            entries.append({array[i], QByteArray::number(i), i + 1 == array.size(), &scope});
    } else if (value.isObject()) {
        const QJsonObject object = value.toObject();
        for (auto entry = object.begin(); entry != object.end(); ++entry)
            entries.append({*entry, entry.key().toUtf8(), entry + 1 == object.end(), &scope});
    } else if (isSet(value)) {
        entries.append({value, {}, true, &scope});
    }
    QByteArray result;
    for (const Scope &entry : std::as_const(entries))
        result += render(text, entry);
    return result;
}

QByteArray renderPlaceholder(const QByteArray &name, const Scope &scope)
{
    if (name == "@")
        return scope.key;
    if (name == ",")
        return scope.isLast ? "" : ",";
    if (!name.endsWith("|json"))
        return plainText(find(scope, name));
    return jsonText(find(scope, name.chopped(5)));
}

QByteArray render(const QByteArray &text, const Scope &scope)
{
    QByteArray result;
    qsizetype at = 0;
    for (qsizetype open = 0; (open = text.indexOf("{{", at)) >= 0;) {
        result += text.mid(at, open - at);
        const qsizetype close = text.indexOf("}}", open);
        const QByteArray name = text.mid(open + 2, close - open - 2);
        at = close + 2;
        if (!name.startsWith('#') && !name.startsWith('^')) {
            result += renderPlaceholder(name, scope);
            continue;
        }
        const QByteArray path = name.mid(1);
        const QByteArray end = "{{/" + path + "}}";
        const qsizetype last = text.indexOf(end, at);
        if (last < 0)
            throw std::runtime_error("no end of section " + path.toStdString());
        const QByteArray inside = text.mid(at, last - at);
        const QJsonValue value = find(scope, path);
        if (name.startsWith('#'))
            result += renderSection(inside, scope, value);
        else if (!isSet(value))
            result += render(inside, scope);
        at = last + end.size();
    }
    return result + text.mid(at);
}

} // namespace

QByteArray renderTemplate(const QByteArray &text, const QJsonObject &fields)
{
    return render(text, {fields, {}, true, nullptr});
}

QByteArray renderedDeploySettings(const QJsonObject &fields)
{
    QFile file(QStringLiteral(CRANBERRY_SOURCE_DIRECTORY "/deploy/settings.json"));
    if (!file.open(QIODevice::ReadOnly))
        throw std::runtime_error("no deploy/settings.json");
    return renderTemplate(file.readAll(), fields);
}

} // namespace cranberry::test
