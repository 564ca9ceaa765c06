#pragma once

#include "Telemetry/LineSink.h"

#include <cstddef>
#include <string>

namespace Mangofall {

/**
 * \class DescriptorSink
 * \brief Writes lines to a file descriptor as far as it accepts them without blocking, and keeps the rest in a bounded buffer.
 *
 * The descriptor is not switched to non-blocking mode, because other processes may share it. Instead each write follows a poll and is small enough that
 * a pipe that is reported as writable accepts it without blocking.
 */
class DescriptorSink final : public LineSink
{
public:
    DescriptorSink(int descriptor, std::size_t maxBufferedBytes);
    ~DescriptorSink() override;

    bool write(std::string_view line) override;

    /// Writes as much of the buffer as the descriptor accepts without blocking. Must be called regularly.
    void flush();

private:
    int m_descriptor;
    std::size_t m_maxBufferedBytes;
    std::string m_buffer;
};

}
