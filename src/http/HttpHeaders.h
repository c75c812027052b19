#pragma once

#include <QByteArray>
#include <QList>
#include <QPair>

namespace cranberry {

/// The header fields of a request or response, in the order in which they were added. Names are
/// case-insensitive.
/// Thread safety: a value type.
class HttpHeaders
{
public:
    using Field = QPair<QByteArray, QByteArray>;

    HttpHeaders() = default;
    HttpHeaders(std::initializer_list<Field> fields)
        : m_fields(fields)
    {
    }

    void add(const QByteArray &name, const QByteArray &value) { m_fields.append({name, value}); }

    /// The value of the first field of that name; null if there is none.
    QByteArray value(const QByteArray &name) const
    {
        for (const Field &field : m_fields) {
            if (field.first.compare(name, Qt::CaseInsensitive) == 0)
                return field.second;
        }
        return {};
    }

    bool contains(const QByteArray &name) const
    {
        for (const Field &field : m_fields) {
            if (field.first.compare(name, Qt::CaseInsensitive) == 0)
                return true;
        }
        return false;
    }

    const QList<Field> &fields() const { return m_fields; }

    /// Size in bytes of the serialized fields, including separators and line ends.
    qsizetype wireSize() const
    {
        qsizetype size = 0;
        for (const Field &field : m_fields)
            size += field.first.size() + field.second.size() + 4;
        return size;
    }

private:
    QList<Field> m_fields;
};

} // namespace cranberry
