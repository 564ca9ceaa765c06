#include "Property.h"

#include "Base/Hash.h"

#include <algorithm>
#include <vector>

using namespace Mangofall;

namespace {

std::string ownerOf(const std::string &key, const std::vector<std::string> &nodes)
{
    return *std::max_element(nodes.begin(), nodes.end(), [&](const std::string &left, const std::string &right) {
        return rendezvousScore(key, left) < rendezvousScore(key, right);
    });
}

}

TEST_GROUP(HashTest){};

// Guards against a hash that assigns a new owner to keys that the removed node did not own.
TEST(HashTest, RemovingOneNodeMovesOnlyItsKeys)
{
    const std::vector<std::string> nodes = {"a", "b", "c", "d", "e"};
    Testing::checkProperty("removing a node reassigns only its own keys", [&](const std::string &key) {
        const std::string owner = ownerOf(key, nodes);
        for (const std::string &removed : nodes) {
            std::vector<std::string> remaining = nodes;
            std::erase(remaining, removed);
            RC_ASSERT(removed == owner || ownerOf(key, remaining) == owner);
        }
    });
}

// Guards against a change of algorithm, which would make stored content-addressed keys unreachable.
TEST(HashTest, ContentHashIsStable)
{
    STRCMP_EQUAL("99aa06d3014798d86001c324468d497f", contentHash("").c_str());
}
