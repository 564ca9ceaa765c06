#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace Mangofall::Load {

/**
 * \class StreamCheck
 * \brief Checks a stream of server-sent events for completeness and order of the stand-ins' numbered tokens.
 */
class StreamCheck
{
public:
    /// Takes the next bytes of the body; returns the number of events with text that they completed.
    std::uint32_t take(std::string_view bytes);

    /// Whether exactly \p tokens tokens came in order, then usage and the end mark.
    bool whole(std::uint32_t tokens) const;
    /// Whether tokens so far are in order, without gap or repeat.
    bool inOrder() const;
    /// Whether the stream ended with an error event.
    bool failed() const;
    bool notRun() const;
    std::uint32_t tokens() const;

private:
    bool takeLine(std::string_view line);
    void takeText(std::string_view text);

    std::string m_line;
    std::string m_word; ///< Start of a token whose end has not arrived.
    std::uint32_t m_tokens = 0;
    bool m_inOrder = true;
    bool m_usage = false;
    bool m_done = false;
    bool m_failed = false;
    bool m_notRun = false;
};

}
