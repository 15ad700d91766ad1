// Exception for JSON that doesn't have the expected form. Codecs catch it at their edge.
#pragma once

#include <stdexcept>

namespace Common {

/// what() names the field, its value in short, and what was expected. Its length is bounded.
class JsonFault : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

} // namespace Common
