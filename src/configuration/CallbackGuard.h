#pragma once

#include <memory>
#include <utility>

namespace cranberry::internal {

/// Disables callbacks once their receiver is destroyed. An object that passes callbacks to a longer
/// lived one has a guard as a member and wraps them. Without it, the answer to a call to the
/// platform could run on freed memory if the object is destroyed during the call.
/// Thread safety: the guard and its callbacks are used in one thread.
class CallbackGuard
{
public:
    /// Returns a callable that forwards to @p call, or does nothing once this guard is destroyed.
    template <typename Call>
    auto wrap(Call call) const
    {
        return [alive = std::weak_ptr<bool>(m_alive),
                call = std::move(call)](auto &&...arguments) mutable {
            if (!alive.expired())
                call(std::forward<decltype(arguments)>(arguments)...);
        };
    }

private:
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace cranberry::internal
