#pragma once

#include <istream>
#include <map>
#include <ostream>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace Mangofall {

/**
 * \class LogExplainer
 * \brief Follows one request through the structured logs of several hosts.
 *
 * Picks the lines that name the request or one of its demands for a place, and between them what the hosts lost, regained or learned about the
 * upstreams and hosts that the request met.
 */
class LogExplainer
{
public:
    explicit LogExplainer(std::string request);

    /// Reads lines; text before a line's JSON object and lines without one are ignored.
    void read(std::istream &log);

    /// Prints the request's lines in the order of their times and the last decision as its outcome; false if no line names the request.
    bool print(std::ostream &output) const;

private:
    struct Line {
        std::uint64_t timeMs = 0;
        std::string host;
        std::string event;
        std::map<std::string, std::string> fields;
    };

    static bool parse(std::string_view text, Line &line);
    bool concerns(const Line &line, const std::set<std::string> &demands, const std::set<std::string> &names) const;

    std::string m_request;
    std::vector<Line> m_lines;
};

}
