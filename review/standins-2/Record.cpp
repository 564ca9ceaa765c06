#include "Record.h"

#include <iomanip>

namespace Review {

Record::Record(const std::string &file)
    : m_stream(file)
{
    m_stream << std::fixed << std::setprecision(3);
}

void Record::write(const std::string &line)
{
    const std::scoped_lock lock(m_mutex);
    m_stream << std::chrono::duration<double>(Clock::now() - m_start).count() << ' ' << line << std::endl;
}

}
