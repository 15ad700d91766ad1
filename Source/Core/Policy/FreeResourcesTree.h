// Finds a worker with enough free resources without looking at each.
#pragma once

#include "Common/Resources.h"

#include <cstddef>
#include <functional>
#include <optional>
#include <vector>

namespace Policy {

/// A binary tree whose leaves are the free resources of workers and whose inner nodes are the largest of each
/// resource below them. Invariant: an inner node is the member-wise maximum of its children.
class FreeResourcesTree {
public:
    /// O(log n), amortised over growth.
    void set(size_t leaf, const Common::Resources& free);
    /// The leaf offers nothing, not even to a request for nothing.
    void clear(size_t leaf);
    size_t size() const { return m_leaves; }
    /// The first leaf at or after `start`, going round, that fits and that `accept` takes. `accept` is asked at most
    /// `maximumAsked` times.
    std::optional<size_t> find(const Common::Resources& wanted, size_t start, size_t maximumAsked,
        const std::function<bool(size_t)>& accept) const;

private:
    struct Search;

    void grow(size_t leaf);
    void update(size_t leaf, const Common::Resources&);
    std::optional<size_t> findIn(Search&, size_t node, size_t first, size_t width) const;

    size_t m_width = 0;
    size_t m_leaves = 0;
    /// Node i has the children 2i and 2i+1; the root is 1. A negative slot count marks a cleared leaf.
    std::vector<Common::Resources> m_nodes;
};

} // namespace Policy
