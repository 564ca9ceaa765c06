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
 * \brief Extracts the history of one request from the structured logs of several hosts.
 *
 * Selects the lines that name the request or one of its placement requests. Adds lines of the same period about the state of the hosts involved
 * (such as a lost store or an adopted configuration) and about the upstreams that the lines of the request name.
 */
class LogExplainer
{
public:
    explicit LogExplainer(std::string request);

    /// Reads log lines. Ignores text before the JSON object of a line, and lines without a JSON object.
    void read(std::istream &log);

    /// Prints the selected lines by time, then the latest line of the request as its outcome. Returns false if no line names the request.
    bool print(std::ostream &output) const;

private:
    struct Line {
        std::uint64_t timeMs = 0;
        std::string host;
        std::string event;
        std::map<std::string, std::string> fields;
    };

    /// Returns false if \p text is not a log line with an event and a time.
    static bool parse(std::string_view text, Line &line);
    /// Whether \p line names the request or one of \p placementRequests (host and number), or reports an event of a host or upstream in \p relatedIds.
    bool isRelevant(const Line &line, const std::set<std::string> &placementRequests, const std::set<std::string> &relatedIds) const;

    std::string m_request;
    std::vector<Line> m_lines;
};

}
