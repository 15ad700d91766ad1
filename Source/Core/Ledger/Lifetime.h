// Drops callbacks that arrive after their receiver was destroyed.
#pragma once

#include <memory>
#include <utility>

namespace Ledger {

/// Declared as the last member of the receiver. Callbacks wrapped by guard() do nothing once it is destroyed.
class Lifetime {
public:
    template <typename Function> auto guard(Function function) const
    {
        return [token = std::weak_ptr<int>(m_token), function = std::move(function)](auto&&... arguments) {
            if (token.lock())
                function(std::forward<decltype(arguments)>(arguments)...);
        };
    }
    /// Returns a token that expires when the receiver is destroyed.
    std::weak_ptr<int> token() const { return m_token; }

private:
    std::shared_ptr<int> m_token = std::make_shared<int>(0);
};

} // namespace Ledger
