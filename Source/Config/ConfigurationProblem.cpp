#include "Config/ConfigurationProblem.h"

namespace Mangofall {

std::string describe(const ConfigurationProblem &problem, std::string_view fileName)
{
    std::string text(fileName);
    if (problem.line > 0) {
        text += fileName.empty() ? "line " : ":";
        text += std::to_string(problem.line);
    }
    if (!text.empty()) {
        text += ": ";
    }
    text += problem.path.empty() ? "document" : problem.path;
    text += ": found " + problem.found + ", allowed: " + problem.allowed;
    return text;
}

std::string describe(const ConfigurationProblems &problems, std::string_view fileName)
{
    std::string text;
    for (const ConfigurationProblem &problem : problems) {
        if (!text.empty()) {
            text += '\n';
        }
        text += describe(problem, fileName);
    }
    return text;
}

std::string fieldPath(std::string_view parent, std::string_view name)
{
    std::string path(parent);
    if (!path.empty()) {
        path += '.';
    }
    path += name;
    return path;
}

std::string elementPath(std::string_view parent, std::size_t index)
{
    std::string path(parent);
    path += '[' + std::to_string(index) + ']';
    return path;
}

}
