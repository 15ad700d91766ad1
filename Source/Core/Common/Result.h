// The outcome of an operation: a value or a failure.
#pragma once

#include "Common/Failure.h"

#include <functional>
#include <optional>
#include <utility>

namespace Common {

/// The value of a successful operation that yields no data.
struct Done {
    bool operator==(const Done&) const = default;
};

/// A value or a Failure.
/// Invariant: reason() is meaningful only if hasValue() is false; the value may be accessed only if it is true.
template <typename T> class Result {
public:
    Result(T value) // NOLINT: a value is a result
        : m_value(std::move(value))
    {
    }
    Result(Failure reason) // NOLINT: a failure is a result
        : m_reason(std::move(reason))
    {
    }

    explicit operator bool() const { return m_value.has_value(); }
    bool hasValue() const { return m_value.has_value(); }
    const T& operator*() const { return *m_value; }
    T& operator*() { return *m_value; }
    const T* operator->() const { return &*m_value; }
    T* operator->() { return &*m_value; }
    const std::optional<T>& value() const { return m_value; }
    const Failure& reason() const { return m_reason; }

private:
    std::optional<T> m_value;
    Failure m_reason;
};

/// Called exactly once, on the event loop, with the outcome of an asynchronous operation.
template <typename T> using Callback = std::function<void(Result<T>)>;

} // namespace Common
