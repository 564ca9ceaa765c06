#include "Config/JsonText.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace Mangofall {

namespace {

using nlohmann::json;

// Valid documents nest four levels deep. The limit prevents a stack overflow when the value of a malicious body is copied or destroyed recursively.
constexpr std::size_t maxDepth = 64;

// Counts a line break only when the character after it is read: the lexer reads one character past the end of a number, which may be a line break.
struct LineCounter {
    int line = 1;
    bool pendingLineBreak = false;
};

class LineCountingIterator
{
public:
    using iterator_category = std::input_iterator_tag;
    using value_type = char;
    using difference_type = std::ptrdiff_t;
    using pointer = const char *;
    using reference = const char &;

    LineCountingIterator(const char *position, LineCounter *counter)
        : m_position(position)
        , m_counter(counter)
    {
    }

    reference operator*() const
    {
        return *m_position;
    }

    LineCountingIterator &operator++()
    {
        if (std::exchange(m_counter->pendingLineBreak, *m_position == '\n')) {
            ++m_counter->line;
        }
        ++m_position;
        return *this;
    }

    bool operator==(const LineCountingIterator &other) const
    {
        return m_position == other.m_position;
    }

    bool operator!=(const LineCountingIterator &other) const
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
    DocumentBuilder(const LineCounter &counter, ConfigurationProblems &problems, std::map<std::string, int> *lineNumbers)
        : m_counter(counter)
        , m_problems(problems)
        , m_lineNumbers(lineNumbers)
    {
    }

    json takeDocument()
    {
        return std::move(m_document);
    }

    bool null() override
    {
        return addValue(json(nullptr)) != nullptr;
    }

    bool boolean(bool value) override
    {
        return addValue(json(value)) != nullptr;
    }

    bool number_integer(number_integer_t value) override // NOLINT(readability-identifier-naming): named by the base class
    {
        return addValue(json(value)) != nullptr;
    }

    bool number_unsigned(number_unsigned_t value) override // NOLINT(readability-identifier-naming): named by the base class
    {
        return addValue(json(value)) != nullptr;
    }

    bool number_float(number_float_t value, const string_t &) override // NOLINT(readability-identifier-naming): named by the base class
    {
        return addValue(json(value)) != nullptr;
    }

    bool string(string_t &value) override
    {
        return addValue(json(std::move(value))) != nullptr;
    }

    bool binary(binary_t &) override
    {
        return false;
    }

    bool start_object(std::size_t) override // NOLINT(readability-identifier-naming): named by the base class
    {
        return openContainer(json::object());
    }

    bool end_object() override // NOLINT(readability-identifier-naming): named by the base class
    {
        m_openContainers.pop_back();
        return true;
    }

    bool start_array(std::size_t) override // NOLINT(readability-identifier-naming): named by the base class
    {
        return openContainer(json::array());
    }

    bool end_array() override // NOLINT(readability-identifier-naming): named by the base class
    {
        m_openContainers.pop_back();
        return true;
    }

    bool key(string_t &name) override
    {
        Container &container = m_openContainers.back();
        if (container.value->contains(name)) {
            m_problems.push_back({fieldPath(container.path, name), "a second field with this name", "each field once", m_counter.line});
            return false;
        }
        m_currentKey = name;
        return true;
    }

    bool parse_error(std::size_t, const std::string &token, const nlohmann::detail::exception &error) override // NOLINT(readability-identifier-naming): base
    {
        std::string reason = error.what();
        const std::size_t start = reason.find("syntax error");
        reason = start == std::string::npos ? reason : reason.substr(start);
        m_problems.push_back({m_openContainers.empty() ? std::string() : m_openContainers.back().path,
                              "invalid JSON near `" + token.substr(0, maxTokenLength) + "` (" + reason + ")",
                              "JSON with comments",
                              m_counter.line});
        return false;
    }

private:
    struct Container {
        json *value = nullptr;
        std::string path;
    };

    static constexpr std::size_t maxTokenLength = 40;

    json *addValue(json value)
    {
        if (m_openContainers.empty()) {
            m_document = std::move(value);
            return &m_document;
        }
        Container &container = m_openContainers.back();
        if (m_lineNumbers != nullptr) {
            m_lineNumbers->emplace(childPath(), m_counter.line);
        }
        if (container.value->is_array()) {
            container.value->push_back(std::move(value));
            return &container.value->back();
        }
        return &((*container.value)[m_currentKey] = std::move(value));
    }

    bool openContainer(json value)
    {
        if (m_openContainers.size() >= maxDepth) {
            m_problems.push_back({m_openContainers.back().path, "deeper nesting", "at most " + std::to_string(maxDepth) + " levels", m_counter.line});
            return false;
        }
        std::string path = m_openContainers.empty() ? std::string() : childPath();
        m_openContainers.push_back({addValue(std::move(value)), std::move(path)});
        return true;
    }

    std::string childPath() const
    {
        const Container &container = m_openContainers.back();
        return container.value->is_array() ? elementPath(container.path, container.value->size()) : fieldPath(container.path, m_currentKey);
    }

    const LineCounter &m_counter;
    ConfigurationProblems &m_problems;
    std::map<std::string, int> *m_lineNumbers;
    json m_document;
    std::vector<Container> m_openContainers;
    std::string m_currentKey;
};

std::optional<json> parse(std::string_view text, ConfigurationProblems &problems, std::map<std::string, int> *lineNumbers)
{
    LineCounter counter;
    DocumentBuilder builder(counter, problems, lineNumbers);
    const LineCountingIterator begin(text.data(), &counter);
    const LineCountingIterator end(text.data() + text.size(), &counter);
    if (!json::sax_parse(begin, end, &builder, json::input_format_t::json, true, true)) {
        return std::nullopt;
    }
    return builder.takeDocument();
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
    std::map<std::string, int> lineNumbers;
    ConfigurationProblems ignored;
    parse(text, ignored, &lineNumbers);
    return lineNumbers;
}

void addLineNumbers(ConfigurationProblems &problems, std::string_view text)
{
    const std::map<std::string, int> lineNumbers = jsonLineNumbers(text);
    for (ConfigurationProblem &problem : problems) {
        std::string path = problem.path;
        while (problem.line == 0 && !path.empty()) {
            const auto found = lineNumbers.find(path);
            problem.line = found == lineNumbers.end() ? 0 : found->second;
            path = parentPath(path);
        }
        problem.line = std::max(problem.line, 1);
    }
}

}
