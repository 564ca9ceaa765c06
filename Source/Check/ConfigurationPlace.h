#pragma once

#include <cstddef>

namespace Mangofall::Check {

/// Part of a configuration that holds a field.
enum class Section {
    Document,
    Route,
    Service,
    Organisation,
    Limits,
};

/// Field of a section.
enum class Field {
    Whole, ///< The section itself.
    HostName,
    PathPrefix,
    Timeout,
    Target,
    PauseLimit,
    MaxRuns,
    Credentials,
    ColdRate,
    EngineSlots,
    EngineMemory,
    HeaderBytes,
    BodyBytes,
    HeaderTimeout,
    IdleTimeout,
};

/**
 * \class ConfigurationPlace
 * \brief A field of a configuration, independent of how the configuration is written.
 */
struct ConfigurationPlace {
    Section section = Section::Document;
    std::size_t index = 0; ///< Of the entry in lists.
    Field field = Field::Whole;
};

}
