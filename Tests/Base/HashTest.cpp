#include "Property.h"

#include "Base/Hash.h"

#include <algorithm>
#include <vector>

using namespace Mangofall;

namespace {

std::string winner(const std::string &key, const std::vector<std::string> &nodes)
{
    return *std::max_element(nodes.begin(), nodes.end(), [&](const std::string &left, const std::string &right) {
        return rendezvousScore(key, left) < rendezvousScore(key, right);
    });
}

}

TEST_GROUP(HashTest){};

// Guards against a hash whose owner moves for keys that the lost node did not own.
TEST(HashTest, LosingOneNodeMovesOnlyItsOwnKeys)
{
    const std::vector<std::string> nodes = {"a", "b", "c", "d", "e"};
    Testing::checkProperty("rendezvous hashing is minimal", [&](const std::string &key) {
        const std::string owner = winner(key, nodes);
        for (const std::string &lost : nodes) {
            std::vector<std::string> left = nodes;
            std::erase(left, lost);
            RC_ASSERT(lost == owner || winner(key, left) == owner);
        }
    });
}

// Guards against a change of algorithm, which would orphan the stored content-addressed keys.
TEST(HashTest, ContentHashIsStable)
{
    STRCMP_EQUAL("99aa06d3014798d86001c324468d497f", contentHash("").c_str());
}
