#pragma once

#include "Experiment/FindNamed.h"
#include "Experiment/Policy.h"
#include "Experiment/Scenario.h"

#include <CppUTest/TestHarness.h>

#include <string>

/// Looks up scenarios and policies by name for the tests.
namespace Mangofall::Experiment::Testing {

template<typename Named>
Named findOrFail(const std::vector<Named> &candidates, const std::string &name)
{
    const Named *found = findNamed(candidates, name);
    CHECK_TEXT(found != nullptr, name.c_str());
    return *found;
}

inline Scenario scenarioNamed(const std::string &name)
{
    return findOrFail(standardScenarios(), name);
}

inline Policy policyNamed(const std::string &name)
{
    return findOrFail(standardPolicies(), name);
}

}
