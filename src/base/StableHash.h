#pragma once

#include <QString>

namespace cranberry {

/// FNV-1a hash over the UTF-16 code units of @p text; the same in every process. qHash() uses a
/// random seed per process, so that daemons would compute different values. Thread-safe.
inline quint64 stableHash(const QString &text)
{
    constexpr quint64 Offset = 14695981039346656037ULL;
    constexpr quint64 Prime = 1099511628211ULL;
    quint64 hash = Offset;
    for (const QChar unit : text)
        hash = (hash ^ unit.unicode()) * Prime;
    return hash;
}

} // namespace cranberry
