// Keeps callbacks from running after their owner is gone.
#pragma once

#include <memory>
#include <utility>

namespace Common {

/// A member of the owner, declared last. Wrapped callbacks do nothing once it is destroyed.
class Lifetime {
public:
    Lifetime()
        : m_token(std::make_shared<char>())
    {
    }
    Lifetime(const Lifetime&) = delete;
    Lifetime& operator=(const Lifetime&) = delete;

    template <typename Function> auto guard(Function function) const
    {
        return [token = std::weak_ptr<char>(m_token), function = std::move(function)](auto&&... arguments) mutable {
            if (!token.expired())
                function(std::forward<decltype(arguments)>(arguments)...);
        };
    }

private:
    std::shared_ptr<char> m_token;
};

} // namespace Common
