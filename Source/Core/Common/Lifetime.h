// Prevents callbacks from running after the destruction of the object they belong to.
#pragma once

#include <memory>
#include <utility>

namespace Common {

/// Declared as the last member of the owner, so that it is destroyed first.
class Lifetime {
public:
    Lifetime()
        : m_token(std::make_shared<char>())
    {
    }
    Lifetime(const Lifetime&) = delete;
    Lifetime& operator=(const Lifetime&) = delete;

    /// Wraps `function`: the result does nothing once this object is destroyed.
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
