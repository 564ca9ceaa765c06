#pragma once

#include "Experiment/FindNamed.h"
#include "Experiment/Policy.h"
#include "Experiment/Scenario.h"

#include <CppUTest/TestHarness.h>

#include <string>

/// Scenarios and policies by name for the experiment's tests.
namespace Mangofall::Experiment::Testing {

template<typename Named>
Named named(const std::vector<Named> &all, const std::string &name)
{
    const Named *found = findNamed(all, name);
    CHECK_TEXT(found != nullptr, name.c_str());
    return *found;
}

inline Scenario scenarioNamed(const std::string &name)
{
    return named(standardScenarios(), name);
}

inline Policy policyNamed(const std::string &name)
{
    return named(standardPolicies(), name);
}

}
