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
std::vector<Named> selectByName(const std::vector<Named> &candidates, const std::vector<std::string> &names)
{
    if (names.empty()) {
        return candidates;
    }
    std::vector<Named> chosen;
    for (const std::string &name : names) {
        const Named *found = findNamed(candidates, name);
        if (found == nullptr) {
            throw TCLAP::ArgException("\"" + name + "\" does not exist", "scenario or policy");
        }
        chosen.push_back(*found);
    }
    return chosen;
}

}

int main(int argumentCount, char **arguments)
{
    TCLAP::CmdLine command("Simulates policies that assign prompts to engines, and compares the results.", ' ', "1");
    TCLAP::MultiArg<std::string> scenarios("s", "scenario", "Scenario to run; all if none is given.", false, "name", command);
    TCLAP::MultiArg<std::string> policies("p", "policy", "Policy to compare; all if none is given.", false, "name", command);
    TCLAP::ValueArg<std::size_t> seeds("n", "seeds", "Number of runs of each policy in each scenario.", false, defaultSeeds, "count", command);
    TCLAP::ValueArg<std::uint64_t> firstSeed("", "seed", "Seed of the first run; each further run adds 1.", false, defaultSeed, "number", command);
    TCLAP::ValueArg<std::string> plot("", "plot", "SVG file to write with a bar chart of the credit.", false, "", "file", command);
    TCLAP::SwitchArg kinds("", "kinds", "Also print the results of each kind of prompts.", command);
    try {
        command.parse(argumentCount, arguments);
        Comparison comparison(selectByName(standardScenarios(), scenarios.getValue()), selectByName(standardPolicies(), policies.getValue()));
        comparison.run(firstSeed.getValue(), seeds.getValue());
        std::cout << comparisonTable(comparison);
        if (kinds.getValue()) {
            std::cout << kindTable(comparison);
        }
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
