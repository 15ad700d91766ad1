// Updates and searches the tree of free resources.
#include "Policy/FreeResourcesTree.h"

#include <algorithm>

namespace Policy {

namespace {

    constexpr Common::Resources noResources {
        .slots = -1, .milliCores = -1, .memoryMegabytes = -1, .accelerators = -1
    };

} // namespace

struct FreeResourcesTree::Search {
    const Common::Resources& wanted;
    const std::function<bool(size_t)>& accept;
    size_t acceptCallsLeft;
    /// Leaves in [begin, end) are of interest.
    size_t begin;
    size_t end;
};

void FreeResourcesTree::set(size_t leaf, const Common::Resources& free)
{
    if (leaf >= m_width)
        grow(leaf);
    m_leaves = std::max(m_leaves, leaf + 1);
    update(leaf, free);
}

void FreeResourcesTree::clear(size_t leaf)
{
    if (leaf < m_leaves)
        update(leaf, noResources);
}

std::optional<size_t> FreeResourcesTree::find(const Common::Resources& wanted, size_t start, size_t maximumAcceptCalls,
    const std::function<bool(size_t)>& accept) const
{
    if (m_leaves == 0 || !fits(wanted, m_nodes[1]))
        return std::nullopt;
    Search search { wanted, accept, maximumAcceptCalls, start, m_leaves };
    if (const std::optional<size_t> found = findIn(search, 1, 0, m_width))
        return found;
    search.begin = 0;
    search.end = std::min(start, m_leaves);
    return findIn(search, 1, 0, m_width);
}

void FreeResourcesTree::grow(size_t leaf)
{
    size_t width = std::max<size_t>(m_width, 1);
    while (width <= leaf)
        width *= 2;
    std::vector<Common::Resources> nodes(2 * width, noResources);
    for (size_t i = 0; i < m_leaves; ++i)
        nodes[width + i] = m_nodes[m_width + i];
    for (size_t node = width; node-- > 1;)
        nodes[node] = largerOf(nodes[2 * node], nodes[2 * node + 1]);
    m_width = width;
    m_nodes = std::move(nodes);
}

void FreeResourcesTree::update(size_t leaf, const Common::Resources& free)
{
    size_t node = m_width + leaf;
    m_nodes[node] = free;
    while (node > 1) {
        node /= 2;
        const Common::Resources larger = largerOf(m_nodes[2 * node], m_nodes[2 * node + 1]);
        if (larger == m_nodes[node])
            return;
        m_nodes[node] = larger;
    }
}

// NOLINTNEXTLINE(misc-no-recursion): as deep as the tree
std::optional<size_t> FreeResourcesTree::findIn(Search& search, size_t node, size_t first, size_t width) const
{
    if (first >= search.end || first + width <= search.begin || search.acceptCallsLeft == 0)
        return std::nullopt;
    if (!fits(search.wanted, m_nodes[node]))
        return std::nullopt;
    if (width == 1) {
        --search.acceptCallsLeft;
        return search.accept(first) ? std::optional(first) : std::nullopt;
    }
    const size_t half = width / 2;
    if (const std::optional<size_t> found = findIn(search, 2 * node, first, half))
        return found;
    return findIn(search, 2 * node + 1, first + half, half);
}

} // namespace Policy
