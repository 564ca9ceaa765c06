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

/// The key of the root in the platform's store.
extern const std::string rootKey;
/// Returns the key of the blob with the content hash \p hash.
std::string blobKey(std::string_view hash);

/// The largest value that the platform's store accepts, in bytes.
constexpr std::size_t maxStoreValueBytes = 1'000'000;

/// The texts of blobs, by content hash.
using ConfigurationBlobs = std::map<std::string, std::string>;

/// The parts of the configuration that are stored in blobs.
enum class ConfigurationSection {
    Presets,
    Organisations,
    Upstreams,
    Routes,
};

constexpr std::size_t configurationSectionCount = 4;

/**
 * \class ConfigurationRoot
 * \brief The value of the root key, with everything that must change in one compare-and-swap.
 */
struct ConfigurationRoot {
    Revision revision = 0;
    PresetName presetInForce;
    OutOfService outOfService;
    std::vector<RecentChange> recentChanges;
    /// The content hashes of the blobs of each section, indexed by ConfigurationSection.
    std::array<std::vector<std::string>, configurationSectionCount> sections;

    friend bool operator==(const ConfigurationRoot &, const ConfigurationRoot &) = default;
};

/// Encodes \p root as the JSON text that is stored.
std::string encodeRoot(const ConfigurationRoot &root);
/// Decodes and checks a stored root; problems are added to \p problems, and the result is empty if there are any.
std::optional<ConfigurationRoot> decodeRoot(std::string_view text, ConfigurationProblems &problems);

/**
 * \class SplitConfiguration
 * \brief A configuration as it is stored: a root and its blobs, each within maxStoreValueBytes.
 */
struct SplitConfiguration {
    ConfigurationRoot root;
    ConfigurationBlobs blobs;
};

/**
 * Splits \p configuration into a root and blobs of at most half of maxStoreValueBytes. The boundaries between the blobs of a section depend on the ids
 * near them, so that adding an element changes one or two blobs instead of all that follow.
 */
SplitConfiguration splitConfiguration(const FleetConfiguration &configuration);

/// Returns the hashes in \p root that are not in \p blobs, each once.
std::vector<std::string> missingBlobs(const ConfigurationRoot &root, const ConfigurationBlobs &blobs);

/**
 * Joins \p root and its \p blobs into a configuration. Sections with the same blobs as in \p previousRoot are copied from \p previous instead of being
 * decoded again; both pointers may be null. The result is empty if a blob is missing or invalid or the preset in force does not exist; the reasons are
 * added to \p problems.
 */
std::optional<FleetConfiguration> joinConfiguration(const ConfigurationRoot &root,
                                                    const ConfigurationBlobs &blobs,
                                                    ConfigurationProblems &problems,
                                                    const ConfigurationRoot *previousRoot = nullptr,
                                                    const FleetConfiguration *previous = nullptr);

}
