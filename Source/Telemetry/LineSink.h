#pragma once

#include <string_view>

namespace Mangofall {

/**
 * \class LineSink
 * \brief Receives log lines without ever blocking.
 */
class LineSink
{
public:
    LineSink() = default;
    LineSink(const LineSink &) = delete;
    LineSink &operator=(const LineSink &) = delete;
    virtual ~LineSink() = default;

    /// Writes or buffers \p line; returns false if the line was dropped.
    virtual bool write(std::string_view line) = 0;
};

}
