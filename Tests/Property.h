#pragma once

// CppUTest redefines new and some standard names; RapidCheck and the standard headers come first.
#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

#include <string>
#include <utility>

namespace Mangofall::Testing {

/// Runs a RapidCheck property inside a CppUTest test; the test fails with RapidCheck's counterexample and seed.
template<class Property>
void checkProperty(const std::string &description, Property &&property)
{
    const bool holds = rc::check(description, std::forward<Property>(property));
    CHECK_TEXT(holds, description.c_str());
}

}
