#pragma once

#include <string_view>

namespace Mangofall {

/**
 * \class LineSink
 * \brief Takes log lines; never blocks.
 */
class LineSink
{
public:
    LineSink() = default;
    LineSink(const LineSink &) = delete;
    LineSink &operator=(const LineSink &) = delete;
    virtual ~LineSink() = default;

    /// False if the line was dropped.
    virtual bool write(std::string_view line) = 0;
};

}
