#pragma once

#include <filesystem>
#include <optional>
#include <string>

namespace Mangofall {

/// Reads a secret, such as the operators' key, from the first line of \p file; std::nullopt if the file cannot be read or the line is empty.
std::optional<std::string> readSecretFile(const std::filesystem::path &file);

}
