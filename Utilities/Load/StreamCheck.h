#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace Mangofall::Load {

/**
 * \class StreamCheck
 * \brief Checks that a stream of server-sent events contains all numbered tokens of the engine stand-in, in order.
 */
class StreamCheck
{
public:
    /// Parses the next bytes of the response body; returns the number of events with text that these bytes completed.
    std::uint32_t take(std::string_view bytes);

    /// Whether exactly \p tokens tokens and the usage arrived in order, followed by the end marker `[DONE]`, without an error event.
    bool whole(std::uint32_t tokens) const;
    /// Whether the events so far are well formed and their tokens are in order, without gaps or duplicates.
    bool inOrder() const;
    /// Whether the stream contained an error event.
    bool failed() const;
    /// Whether the error event stated that the request was not run.
    bool notRun() const;
    /// Number of tokens received so far.
    std::uint32_t tokens() const;

private:
    /// Returns whether \p line is an event with text.
    bool processLine(std::string_view line);
    void checkTokens(std::string_view text);

    std::string m_line;
    std::string m_partialToken; ///< Start of a token whose remainder has not arrived yet.
    std::uint32_t m_tokens = 0;
    bool m_inOrder = true;
    bool m_usageSeen = false;
    bool m_doneSeen = false;
    bool m_failed = false;
    bool m_notRun = false;
};

}
