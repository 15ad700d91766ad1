// The result of parsing and checking a text: a value, or every fault found in the text.
#pragma once

#include "Config/SettingFault.h"

#include <optional>
#include <utility>
#include <vector>

namespace Config {

/// Invariant: there is a value exactly when there are no faults.
template <typename T> class Checked {
public:
    Checked(T value) // NOLINT: a value is a result
        : m_value(std::move(value))
    {
    }
    Checked(std::vector<SettingFault> faults) // NOLINT: faults are a result
        : m_faults(std::move(faults))
    {
    }

    explicit operator bool() const { return m_value.has_value(); }
    const T& operator*() const { return *m_value; }
    T& operator*() { return *m_value; }
    const T* operator->() const { return &*m_value; }
    T* operator->() { return &*m_value; }
    const std::vector<SettingFault>& faults() const { return m_faults; }

private:
    std::optional<T> m_value;
    std::vector<SettingFault> m_faults;
};

} // namespace Config
