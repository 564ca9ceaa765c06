#include "Record.h"

namespace Mangofall::Review {

Record::Record(const std::string &file)
    : m_file(file, std::ios::trunc)
    , m_startedAt(std::chrono::steady_clock::now())
{
}

void Record::write(std::string_view line)
{
    m_file << milliseconds(std::chrono::steady_clock::now() - m_startedAt) << ' ' << line << std::endl;
}

std::string milliseconds(Duration duration)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

}
