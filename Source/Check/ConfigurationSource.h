#pragma once

#include "Check/ConfigurationPlace.h"
#include "Check/Finding.h"
#include "Config/NetworkAddress.h"
#include "Forwarding/ForwardingConfiguration.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Mangofall::Check {

/// A configuration as the hosts read it.
struct ReadConfiguration {
    std::optional<Forwarding::ForwardingConfiguration> configuration; ///< Set if there is no error.
    /// Set instead if there are errors, but entries could be read. Entries with errors have arbitrary values, so that hosts must not use it.
    std::optional<Forwarding::ForwardingConfiguration> draft;
    Findings findings;
};

/**
 * \class ConfigurationSource
 * \brief Reads configurations as the hosts of one platform do. Implemented where the platform's format is known.
 */
class ConfigurationSource
{
public:
    virtual ~ConfigurationSource() = default;

    /// Decodes \p text. If \p versionInForce is given, the version must be above it.
    virtual ReadConfiguration read(std::string_view text, std::optional<std::uint64_t> versionInForce) const = 0;

    /// JSON pointer of \p place.
    virtual std::string pointer(const ConfigurationPlace &place) const = 0;

    /// Text of the configuration in force, read from the store at \p store without writing to it. If there is none, describes why in \p problem.
    virtual std::optional<std::string> readInForce(const NetworkAddress &store, std::string &problem) const = 0;
};

}
