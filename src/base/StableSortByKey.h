#pragma once

#include <QList>

#include <algorithm>
#include <type_traits>
#include <utility>
#include <vector>

namespace cranberry {

/// Sorts @p elements stably by keys that are computed once for each element, before the sort. The
/// standard library's sorts access memory outside the range if the order changes while they run, so
/// that a comparison must not read the clock or other state that may change. A key is therefore a
/// plain value.
/// Preconditions: @p isBefore is a strict weak ordering of keys; a floating-point key is a number.
/// Thread safety: that of @p keyOf and @p isBefore.
template <typename Element, typename KeyOf, typename IsBefore>
void stableSortByKey(QList<Element> &elements, KeyOf keyOf, IsBefore isBefore)
{
    using Key = std::decay_t<decltype(keyOf(std::as_const(elements).first()))>;
    static_assert(std::is_trivially_copyable_v<Key> && !std::is_pointer_v<Key>,
                  "a key must be a trivially copyable value");
    std::vector<std::pair<Key, Element>> keyed;
    keyed.reserve(size_t(elements.size()));
    for (const Element &element : std::as_const(elements))
        keyed.emplace_back(keyOf(element), element);
    std::stable_sort(keyed.begin(), keyed.end(),
                     [&](const auto &a, const auto &b) { return isBefore(a.first, b.first); });
    elements.clear();
    for (auto &entry : keyed)
        elements.append(std::move(entry.second));
}

} // namespace cranberry
