#include "Config/JsonText.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace Mangofall {

namespace {

using nlohmann::json;

// Documents nest four levels deep; the bound protects the stack when a hostile body is copied or destroyed.
constexpr std::size_t maxDepth = 64;

// Counts a line break only when the character after it is read: the lexer reads one character beyond a number.
struct LineCounter {
    int line = 1;
    bool pendingBreak = false;
};

class CountingIterator
{
public:
    using iterator_category = std::input_iterator_tag;
    using value_type = char;
    using difference_type = std::ptrdiff_t;
    using pointer = const char *;
    using reference = const char &;

    CountingIterator(const char *position, LineCounter *counter)
        : m_position(position)
        , m_counter(counter)
    {
    }

    reference operator*() const
    {
        return *m_position;
    }

    CountingIterator &operator++()
    {
        if (std::exchange(m_counter->pendingBreak, *m_position == '\n')) {
            ++m_counter->line;
        }
        ++m_position;
        return *this;
    }

    bool operator==(const CountingIterator &other) const
    {
        return m_position == other.m_position;
    }

    bool operator!=(const CountingIterator &other) const
    {
        return m_position != other.m_position;
    }

private:
    const char *m_position;
    LineCounter *m_counter;
};

class DocumentBuilder final : public nlohmann::json_sax<json>
{
public:
    DocumentBuilder(const LineCounter &counter, ConfigurationProblems &problems, std::map<std::string, int> *lines)
        : m_counter(counter)
        , m_problems(problems)
        , m_lines(lines)
    {
    }

    json takeRoot()
    {
        return std::move(m_root);
    }

    bool null() override
    {
        return add(json(nullptr)) != nullptr;
    }

    bool boolean(bool value) override
    {
        return add(json(value)) != nullptr;
    }

    bool number_integer(number_integer_t value) override // NOLINT(readability-identifier-naming): named by the base class
    {
        return add(json(value)) != nullptr;
    }

    bool number_unsigned(number_unsigned_t value) override // NOLINT(readability-identifier-naming): named by the base class
    {
        return add(json(value)) != nullptr;
    }

    bool number_float(number_float_t value, const string_t &) override // NOLINT(readability-identifier-naming): named by the base class
    {
        return add(json(value)) != nullptr;
    }

    bool string(string_t &value) override
    {
        return add(json(std::move(value))) != nullptr;
    }

    bool binary(binary_t &) override
    {
        return false;
    }

    bool start_object(std::size_t) override // NOLINT(readability-identifier-naming): named by the base class
    {
        return open(json::object());
    }

    bool end_object() override // NOLINT(readability-identifier-naming): named by the base class
    {
        m_levels.pop_back();
        return true;
    }

    bool start_array(std::size_t) override // NOLINT(readability-identifier-naming): named by the base class
    {
        return open(json::array());
    }

    bool end_array() override // NOLINT(readability-identifier-naming): named by the base class
    {
        m_levels.pop_back();
        return true;
    }

    bool key(string_t &name) override
    {
        Level &level = m_levels.back();
        if (level.value->contains(name)) {
            m_problems.push_back({fieldPath(level.path, name), "a second field with this name", "each field once", m_counter.line});
            return false;
        }
        m_key = name;
        return true;
    }

    bool parse_error(std::size_t, const std::string &token, const nlohmann::detail::exception &error) override // NOLINT(readability-identifier-naming): base
    {
        std::string reason = error.what();
        const std::size_t start = reason.find("syntax error");
        reason = start == std::string::npos ? reason : reason.substr(start);
        m_problems.push_back({m_levels.empty() ? std::string() : m_levels.back().path,
                              "invalid JSON near `" + token.substr(0, maxTokenLength) + "` (" + reason + ")",
                              "JSON with comments",
                              m_counter.line});
        return false;
    }

private:
    struct Level {
        json *value = nullptr;
        std::string path;
    };

    static constexpr std::size_t maxTokenLength = 40;

    json *add(json value)
    {
        if (m_levels.empty()) {
            m_root = std::move(value);
            return &m_root;
        }
        Level &level = m_levels.back();
        if (m_lines != nullptr) {
            m_lines->emplace(childPath(), m_counter.line);
        }
        if (level.value->is_array()) {
            level.value->push_back(std::move(value));
            return &level.value->back();
        }
        return &((*level.value)[m_key] = std::move(value));
    }

    bool open(json value)
    {
        if (m_levels.size() >= maxDepth) {
            m_problems.push_back({m_levels.back().path, "deeper nesting", "at most " + std::to_string(maxDepth) + " levels", m_counter.line});
            return false;
        }
        std::string path = m_levels.empty() ? std::string() : childPath();
        m_levels.push_back({add(std::move(value)), std::move(path)});
        return true;
    }

    std::string childPath() const
    {
        const Level &level = m_levels.back();
        return level.value->is_array() ? elementPath(level.path, level.value->size()) : fieldPath(level.path, m_key);
    }

    const LineCounter &m_counter;
    ConfigurationProblems &m_problems;
    std::map<std::string, int> *m_lines;
    json m_root;
    std::vector<Level> m_levels;
    std::string m_key;
};

std::optional<json> parse(std::string_view text, ConfigurationProblems &problems, std::map<std::string, int> *lines)
{
    LineCounter counter;
    DocumentBuilder builder(counter, problems, lines);
    const CountingIterator begin(text.data(), &counter);
    const CountingIterator end(text.data() + text.size(), &counter);
    if (!json::sax_parse(begin, end, &builder, json::input_format_t::json, true, true)) {
        return std::nullopt;
    }
    return builder.takeRoot();
}

std::string parentPath(const std::string &path)
{
    const std::size_t end = path.find_last_of(".[");
    return end == std::string::npos ? std::string() : path.substr(0, end);
}

}

std::optional<json> parseJsonText(std::string_view text, ConfigurationProblems &problems)
{
    return parse(text, problems, nullptr);
}

std::map<std::string, int> jsonLineNumbers(std::string_view text)
{
    std::map<std::string, int> lines;
    ConfigurationProblems ignored;
    parse(text, ignored, &lines);
    return lines;
}

void addLineNumbers(ConfigurationProblems &problems, std::string_view text)
{
    const std::map<std::string, int> lines = jsonLineNumbers(text);
    for (ConfigurationProblem &problem : problems) {
        std::string path = problem.path;
        while (problem.line == 0 && !path.empty()) {
            const auto found = lines.find(path);
            problem.line = found == lines.end() ? 0 : found->second;
            path = parentPath(path);
        }
        problem.line = std::max(problem.line, 1);
    }
}

}
