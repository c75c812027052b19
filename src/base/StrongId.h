#pragma once

#include <QHashFunctions>
#include <QString>

namespace cranberry {

/// A string identifier typed by @p Tag, so that identifiers of different kinds cannot be mixed up.
/// Equality and order are those of the text.
/// Thread safety: a value type; distinct objects may be used from distinct threads.
template <typename Tag>
class StrongId
{
public:
    StrongId() = default;
    explicit StrongId(QString text)
        : m_text(std::move(text))
    {
    }

    /// The identifier as used in settings, documents and logs.
    const QString &text() const { return m_text; }
    bool isEmpty() const { return m_text.isEmpty(); }

    friend bool operator==(const StrongId &a, const StrongId &b) { return a.m_text == b.m_text; }
    friend bool operator!=(const StrongId &a, const StrongId &b) { return !(a == b); }
    friend bool operator<(const StrongId &a, const StrongId &b) { return a.m_text < b.m_text; }
    friend size_t qHash(const StrongId &id, size_t seed = 0) { return qHash(id.m_text, seed); }

private:
    QString m_text;
};

} // namespace cranberry
