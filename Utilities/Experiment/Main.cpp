#include "Experiment/Comparison.h"
#include "Experiment/ComparisonPlot.h"
#include "Experiment/ComparisonTable.h"
#include "Experiment/FindNamed.h"

#include <cstdint>
#include <fstream>
#include <iostream>
#include <string>
#include <tclap/CmdLine.h>

using namespace Mangofall::Experiment;

namespace {

constexpr std::uint64_t defaultSeed = 20261204;
constexpr std::size_t defaultSeeds = 10;

template<typename Named>
std::vector<Named> named(const std::vector<Named> &all, const std::vector<std::string> &names)
{
    if (names.empty()) {
        return all;
    }
    std::vector<Named> chosen;
    for (const std::string &name : names) {
        const Named *found = findNamed(all, name);
        if (found == nullptr) {
            throw TCLAP::ArgException("\"" + name + "\" is not known", "scenario or policy");
        }
        chosen.push_back(*found);
    }
    return chosen;
}

}

int main(int argumentCount, char **arguments)
{
    TCLAP::CmdLine command("Compares ways to place prompts on engines in virtual time.", ' ', "1");
    TCLAP::MultiArg<std::string> scenarios("s", "scenario", "Scenario to play; all if none is given.", false, "name", command);
    TCLAP::MultiArg<std::string> policies("p", "policy", "Policy to compare; all if none is given.", false, "name", command);
    TCLAP::ValueArg<std::size_t> seeds("n", "seeds", "Number of runs of each policy in each scenario.", false, defaultSeeds, "count", command);
    TCLAP::ValueArg<std::uint64_t> firstSeed("", "seed", "Seed of the first run; the next ones follow it.", false, defaultSeed, "number", command);
    TCLAP::ValueArg<std::string> plot("", "plot", "File for a bar chart of the credit, as SVG.", false, "", "file", command);
    try {
        command.parse(argumentCount, arguments);
        Comparison comparison(named(standardScenarios(), scenarios.getValue()), named(standardPolicies(), policies.getValue()));
        comparison.run(firstSeed.getValue(), seeds.getValue());
        std::cout << comparisonTable(comparison);
        if (!plot.getValue().empty()) {
            std::ofstream file(plot.getValue());
            file << comparisonPlot(comparison);
            if (!file.flush()) {
                std::cerr << "mangofall-experiment: cannot write " << plot.getValue() << "\n";
                return 1;
            }
        }
    } catch (const TCLAP::ArgException &error) {
        std::cerr << "mangofall-experiment: " << error.argId() << ": " << error.error() << "\n";
        return 2;
    }
    return 0;
}
