// Combines several lambdas into one visitor for std::visit.
#pragma once

namespace Common {

template <typename... Visitors> struct Overloaded : Visitors... {
    using Visitors::operator()...;
};
template <typename... Visitors> Overloaded(Visitors...) -> Overloaded<Visitors...>;

} // namespace Common
