// Finds a worker with enough free resources without checking every worker. Used by Placement.
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
    /// Empties the leaf: `find` never returns it, not even for a request of zero resources.
    void clear(size_t leaf);
    size_t size() const { return m_leaves; }
    /// The first fitting leaf at or after `start`, wrapping around, for which `accept` returns true; nothing when there
    /// is none. `accept` is called at most `maximumAcceptCalls` times.
    std::optional<size_t> find(const Common::Resources& wanted, size_t start, size_t maximumAcceptCalls,
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
