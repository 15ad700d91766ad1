// The tree finds a fitting leaf exactly when there is one.
#include "Policy/FreeResourcesTree.h"

#include <doctest/doctest.h>

#include <random>

using namespace Policy;
using Common::Resources;

TEST_CASE("the tree finds the same leaf as a linear search")
{
    for (uint64_t seed = 1; seed <= 20; ++seed) {
        std::mt19937_64 random(seed);
        const auto amount = [&](int64_t limit) { return static_cast<int64_t>(random() % limit); };
        const auto draw = [&] { return Resources { amount(9), amount(16000), amount(60000), amount(3) }; };
        FreeResourcesTree tree;
        std::vector<std::optional<Resources>> leaves;
        for (int step = 0; step < 500; ++step) {
            const size_t leaf = random() % 70;
            if (leaf >= leaves.size())
                leaves.resize(leaf + 1, std::nullopt);
            if (random() % 4 == 0) {
                leaves[leaf].reset();
                tree.clear(leaf);
            } else {
                leaves[leaf] = draw();
                tree.set(leaf, *leaves[leaf]);
            }
            const Resources wanted = draw();
            const size_t start = random() % leaves.size();
            std::optional<size_t> expected;
            for (size_t i = 0; i < leaves.size() && !expected; ++i) {
                const size_t at = (start + i) % leaves.size();
                if (leaves[at] && fits(wanted, *leaves[at]))
                    expected = at;
            }
            REQUIRE(tree.find(wanted, start, leaves.size(), [](size_t) { return true; }) == expected);
        }
    }
}
