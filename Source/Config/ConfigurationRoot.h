#pragma once

#include "Base/Ids.h"
#include "Config/ConfigurationProblem.h"
#include "Config/FleetConfiguration.h"

#include <array>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Mangofall {

/// Key of the root in the platform's store.
extern const std::string rootKey;
/// Key of the blob with content hash \p hash.
std::string blobKey(std::string_view hash);

/// Largest value that the platform's store accepts, in bytes.
constexpr std::size_t maxStoreValueBytes = 1'000'000;

/// Texts of blobs by content hash.
using ConfigurationBlobs = std::map<std::string, std::string>;

/// The parts of the configuration that are kept in blobs.
enum class ConfigurationSection {
    Presets,
    Organisations,
    Upstreams,
    Routes,
};

constexpr std::size_t configurationSectionCount = 4;

/**
 * \class ConfigurationRoot
 * \brief The value of the root key: everything that a compare-and-swap must change together.
 */
struct ConfigurationRoot {
    Revision revision = 0;
    PresetName presetInForce;
    OutOfService outOfService;
    std::vector<RecentChange> recentChanges;
    /// Content hashes of each section's blobs, in the order of ConfigurationSection.
    std::array<std::vector<std::string>, configurationSectionCount> sections;

    friend bool operator==(const ConfigurationRoot &, const ConfigurationRoot &) = default;
};

std::string encodeRoot(const ConfigurationRoot &root);
/// Decodes and checks a stored root; faults are added to \p problems.
std::optional<ConfigurationRoot> decodeRoot(std::string_view text, ConfigurationProblems &problems);

/**
 * \class SplitConfiguration
 * \brief A configuration as it is stored: a root and its blobs, each below the store's value limit.
 */
struct SplitConfiguration {
    ConfigurationRoot root;
    ConfigurationBlobs blobs;
};

/**
 * Splits \p configuration into a root and blobs of at most half the value limit. Where a section is cut depends on the ids near the cut, so that
 * adding an element changes one or two blobs and not all that follow.
 */
SplitConfiguration splitConfiguration(const FleetConfiguration &configuration);

/// The hashes in \p root that \p blobs lacks, each once.
std::vector<std::string> missingBlobs(const ConfigurationRoot &root, const ConfigurationBlobs &blobs);

/**
 * Joins \p root and its \p blobs. Sections with the same blobs as in \p previousRoot are copied from \p previous instead of being decoded again; both
 * may be null. Empty if a blob is missing or wrong or the preset in force does not exist; \p problems tells why.
 */
std::optional<FleetConfiguration> joinConfiguration(const ConfigurationRoot &root,
                                                    const ConfigurationBlobs &blobs,
                                                    ConfigurationProblems &problems,
                                                    const ConfigurationRoot *previousRoot = nullptr,
                                                    const FleetConfiguration *previous = nullptr);

}
