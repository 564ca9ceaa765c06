#include "Telemetry/DescriptorSink.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>

namespace Mangofall {

namespace {

// PIPE_BUF on Linux: a pipe that poll() reports as writable is guaranteed to accept this many bytes without blocking.
constexpr std::size_t maxWriteBytes = 4096;

}

DescriptorSink::DescriptorSink(int descriptor, std::size_t maxBufferedBytes)
    : m_descriptor(descriptor)
    , m_maxBufferedBytes(maxBufferedBytes)
{
}

DescriptorSink::~DescriptorSink()
{
    flush();
}

bool DescriptorSink::write(std::string_view line)
{
    if (m_buffer.size() + line.size() > m_maxBufferedBytes) {
        flush();
    }
    if (m_buffer.size() + line.size() > m_maxBufferedBytes) {
        return false;
    }
    m_buffer += line;
    return true;
}

void DescriptorSink::flush()
{
    std::size_t written = 0;
    while (written < m_buffer.size()) {
        pollfd poll{m_descriptor, POLLOUT, 0};
        if (::poll(&poll, 1, 0) != 1 || (poll.revents & POLLOUT) == 0) {
            break;
        }
        const ssize_t count = ::write(m_descriptor, m_buffer.data() + written, std::min(maxWriteBytes, m_buffer.size() - written));
        if (count <= 0) {
            break;
        }
        written += static_cast<std::size_t>(count);
    }
    m_buffer.erase(0, written);
}

}
