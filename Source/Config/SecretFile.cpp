#include "Config/SecretFile.h"

#include <fstream>

namespace Mangofall {

std::optional<std::string> readSecretFile(const std::filesystem::path &file)
{
    std::ifstream stream(file);
    std::string secret;
    if (!std::getline(stream, secret)) {
        return std::nullopt;
    }
    while (!secret.empty() && (secret.back() == '\r' || secret.back() == ' ')) {
        secret.pop_back();
    }
    return secret.empty() ? std::nullopt : std::optional(secret);
}

}
