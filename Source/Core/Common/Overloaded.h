// Makes one visitor of several lambdas.
#pragma once

namespace Common {

template <typename... Visitors> struct Overloaded : Visitors... {
    using Visitors::operator()...;
};
template <typename... Visitors> Overloaded(Visitors...) -> Overloaded<Visitors...>;

} // namespace Common
