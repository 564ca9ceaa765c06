#pragma once

#include "Base/Time.h"

#include <fstream>
#include <string>
#include <string_view>

namespace Mangofall::Review {

/**
 * \class Record
 * \brief The file in which a case notes what was sent, answered and run; each line begins with the milliseconds since the start.
 */
class Record
{
public:
    explicit Record(const std::string &file);

    void write(std::string_view line);

private:
    std::ofstream m_file;
    TimePoint m_startedAt;
};

/// Whole milliseconds as text.
std::string milliseconds(Duration duration);

}
