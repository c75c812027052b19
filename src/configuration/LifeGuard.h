// Defines LifeGuard, which drops answers that come after their receiver has gone.
#pragma once

#include <memory>
#include <utility>

namespace cranberry::internal {

/// A member of an object that hands callbacks to something that may outlive it. The failure:
/// the object is destroyed while a call on the platform is under way, and the answer runs on
/// freed memory. A wrapped callback does nothing once the guard is destroyed.
/// Thread safety: guard and callbacks in one thread.
class LifeGuard
{
public:
    /// @p call, made to do nothing once this guard has gone.
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
