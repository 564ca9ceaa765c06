#pragma once

#include "Config/ConfigurationProblem.h"
#include "Config/Settings.h"

#include <filesystem>
#include <optional>
#include <string_view>

namespace Mangofall {

/**
 * \class SettingsReader
 * \brief Reads a settings file (JSON with comments), checks each field and refuses unknown fields.
 */
class SettingsReader
{
public:
    /// \p file is opened by read() and named in error messages.
    explicit SettingsReader(std::filesystem::path file);

    /// The settings; std::nullopt if the file cannot be read or is invalid, for reasons listed by problems().
    std::optional<Settings> read();
    /// Like read(), but uses \p text as the content of the file.
    std::optional<Settings> parse(std::string_view text);

    const ConfigurationProblems &problems() const;
    /// Descriptions of all problems, one line each, with file name and line number.
    std::string errorText() const;

private:
    std::filesystem::path m_file;
    ConfigurationProblems m_problems;
};

}
