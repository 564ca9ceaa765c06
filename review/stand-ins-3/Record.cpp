#include "Record.h"

#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <stdexcept>

namespace Review {

Record::Record(const std::string &file)
    : m_file(file)
{
}

void Record::write(const std::string &line)
{
    const std::lock_guard lock(m_mutex);
    char text[32];
    std::snprintf(text, sizeof(text), "%8.3f s  ", seconds());
    m_file << text << line << std::endl;
}

double Record::seconds(TimePoint time) const
{
    return std::chrono::duration<double>(time - m_start).count();
}

bool withTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

Folder::Folder()
{
    std::string name = (std::filesystem::temp_directory_path() / "mangofall-review-XXXXXX").string();
    if (::mkdtemp(name.data()) == nullptr) {
        throw std::runtime_error("cannot make a temporary folder");
    }
    m_path = name;
}

Folder::~Folder()
{
    std::error_code ignored;
    if (std::getenv("KEEP_LOGS") == nullptr) {
        std::filesystem::remove_all(m_path, ignored);
    } else {
        std::printf("logs in %s\n", m_path.c_str());
    }
}

const std::string &Folder::path() const
{
    return m_path;
}

}
