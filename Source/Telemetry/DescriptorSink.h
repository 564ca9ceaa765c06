#pragma once

#include "Telemetry/LineSink.h"

#include <cstddef>
#include <string>

namespace Mangofall {

/**
 * \class DescriptorSink
 * \brief Collects lines and writes them to a file descriptor when it takes them; the rest waits in a bounded buffer.
 *
 * The descriptor's own mode is not changed, because other processes may share it: each write is preceded by a poll and is small enough that a pipe
 * that polls as writable takes it without blocking.
 */
class DescriptorSink final : public LineSink
{
public:
    DescriptorSink(int descriptor, std::size_t maxBufferedBytes);
    ~DescriptorSink() override;

    bool write(std::string_view line) override;

    /// Writes what the descriptor takes now. Call it regularly.
    void flush();

private:
    int m_descriptor;
    std::size_t m_maxBufferedBytes;
    std::string m_buffer;
};

}
