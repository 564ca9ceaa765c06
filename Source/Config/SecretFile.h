#pragma once

#include <filesystem>
#include <optional>
#include <string>

namespace Mangofall {

/// Reads a secret, such as the operators' key, from the first line of \p file; empty if it cannot be read or is empty.
std::optional<std::string> readSecretFile(const std::filesystem::path &file);

}
