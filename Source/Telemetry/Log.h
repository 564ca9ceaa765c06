#pragma once

#include "Config/Settings.h"

#include <memory>
#include <string>
#include <string_view>

namespace Mangofall {

/// Sets the level and the layout (one JSON object per line if \p json) of the process's log on standard error. Must be called once, before the first line is
/// logged.
void configureLogging(LogThreshold level, bool json);

/**
 * \class Log
 * \brief Log of one component; each line carries the component's prefix.
 *
 * Safe to use from any thread.
 */
class Log
{
public:
    /// \p prefix is the component's name, for example "membership".
    explicit Log(const std::string &prefix);
    ~Log();
    Log(const Log &) = delete;
    Log &operator=(const Log &) = delete;

    void debug(std::string_view message) const;
    void info(std::string_view message) const;
    void warning(std::string_view message) const;
    void error(std::string_view message) const;

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

}
