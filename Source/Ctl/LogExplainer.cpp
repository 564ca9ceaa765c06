#include "Ctl/LogExplainer.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace Mangofall {

namespace {

// Events that change what a host knows about the store, the fleet or the other hosts; printed if they occurred on a host involved, in the period of the
// request.
const std::set<std::string, std::less<>> hostEvents = {"store_lost",
                                                       "feed_source",
                                                       "feed_source_failed",
                                                       "feed_source_old",
                                                       "history_gone",
                                                       "registration_failing",
                                                       "registration_restored",
                                                       "store_returned",
                                                       "owner_silent",
                                                       "paused",
                                                       "leaving",
                                                       "stopping",
                                                       "started",
                                                       "configuration_adopted",
                                                       "data_centre_out_of_service",
                                                       "data_centre_back"};
// Events about one upstream; printed if a line of the request names that upstream.
const std::set<std::string, std::less<>> upstreamEvents = {"upstream_listed", "upstream_removed", "upstream_entry_unreadable"};
// Events up to this long before the first line of the request are printed too, as they may explain what happened to it.
constexpr std::uint64_t contextBeforeMs = 500;

std::string field(const std::map<std::string, std::string> &fields, const std::string &name)
{
    const auto position = fields.find(name);
    return position == fields.end() ? std::string() : position->second;
}

// Adds the ids in a text such as "i-1 helpers=i-2,i-3".
void addIds(const std::string &text, std::set<std::string> &relatedIds)
{
    std::string id;
    for (const char character : text + " ") {
        if (character == ' ' || character == ',' || character == '=') {
            relatedIds.insert(id);
            id.clear();
        } else {
            id += character;
        }
    }
}

}

LogExplainer::LogExplainer(std::string request)
    : m_request(std::move(request))
{
}

void LogExplainer::read(std::istream &log)
{
    std::string text;
    while (std::getline(log, text)) {
        Line line;
        if (parse(text, line)) {
            m_lines.push_back(std::move(line));
        }
    }
}

bool LogExplainer::print(std::ostream &output) const
{
    std::set<std::string> placementRequests;
    std::set<std::string> relatedIds;
    std::uint64_t first = UINT64_MAX;
    std::uint64_t last = 0;
    const Line *outcome = nullptr;
    for (const Line &line : m_lines) {
        if (field(line.fields, "request") != m_request) {
            continue;
        }
        placementRequests.insert(line.host + "/" + field(line.fields, "demand"));
        relatedIds.insert(line.host);
        addIds(field(line.fields, "detail"), relatedIds);
        first = std::min(first, line.timeMs);
        if (outcome == nullptr || line.timeMs >= last) {
            outcome = &line;
            last = line.timeMs;
        }
    }
    if (outcome == nullptr) {
        output << "no line names request " << m_request << '\n';
        return false;
    }
    std::vector<const Line *> selected;
    for (const Line &line : m_lines) {
        const bool inTimeRange = line.timeMs + contextBeforeMs >= first && line.timeMs <= last;
        if (inTimeRange && isRelevant(line, placementRequests, relatedIds)) {
            selected.push_back(&line);
        }
    }
    std::stable_sort(selected.begin(), selected.end(), [](const Line *left, const Line *right) {
        return left->timeMs < right->timeMs;
    });
    for (const Line *line : selected) {
        const auto offset = static_cast<std::int64_t>(line->timeMs) - static_cast<std::int64_t>(first);
        output << (offset >= 0 ? "+" : "") << offset << " ms " << line->host << ' ' << line->event;
        for (const auto &[name, value] : line->fields) {
            if (name != "request") {
                output << ' ' << name << '=' << value;
            }
        }
        output << '\n';
    }
    output << "outcome: " << outcome->event << ' ' << field(outcome->fields, "detail") << " on " << outcome->host << '\n';
    return true;
}

bool LogExplainer::parse(std::string_view text, Line &line)
{
    const std::size_t start = text.find('{');
    if (start == std::string_view::npos) {
        return false;
    }
    const nlohmann::json object = nlohmann::json::parse(text.substr(start), nullptr, false);
    if (!object.is_object() || !object.contains("event") || !object.contains("time_ms") || !object["time_ms"].is_number_unsigned()) {
        return false;
    }
    for (const auto &[name, value] : object.items()) {
        if (name == "time_ms") {
            line.timeMs = value.get<std::uint64_t>();
        } else if (value.is_string()) {
            (name == "host" ? line.host : name == "event" ? line.event : line.fields[name]) = value.get<std::string>();
        }
    }
    return true;
}

bool LogExplainer::isRelevant(const Line &line, const std::set<std::string> &placementRequests, const std::set<std::string> &relatedIds) const
{
    if (field(line.fields, "request") == m_request || placementRequests.contains(field(line.fields, "entry") + "/" + field(line.fields, "demand"))) {
        return true;
    }
    if (upstreamEvents.contains(line.event)) {
        return relatedIds.contains(field(line.fields, "upstream")) && relatedIds.contains(line.host);
    }
    return hostEvents.contains(line.event) && relatedIds.contains(line.host);
}

}
