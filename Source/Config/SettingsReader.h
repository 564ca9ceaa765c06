#pragma once

#include "Config/ConfigurationProblem.h"
#include "Config/Settings.h"

#include <filesystem>
#include <optional>
#include <string_view>

namespace Mangofall {

/**
 * \class SettingsReader
 * \brief Reads a settings file (JSON with comments), checks every field and refuses unknown ones.
 */
class SettingsReader
{
public:
    /// \p file is read by read() and named in error messages.
    explicit SettingsReader(std::filesystem::path file);

    /// Empty if the file cannot be read or is wrong; problems() tells why.
    std::optional<Settings> read();
    /// Like read(), but takes the file's content from \p text.
    std::optional<Settings> parse(std::string_view text);

    const ConfigurationProblems &problems() const;
    /// All problems, one line each, with file name and line.
    std::string errorText() const;

private:
    std::filesystem::path m_file;
    ConfigurationProblems m_problems;
};

}
