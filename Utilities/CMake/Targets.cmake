# Helpers that define the project's targets with one set of options.

add_library(MangofallOptions INTERFACE)
target_compile_options(MangofallOptions INTERFACE -Wall -Wextra -Wpedantic -Werror)
# GCC 12 reports the operator delete of Asio's coroutine frames wrongly.
target_compile_options(MangofallOptions INTERFACE -Wno-mismatched-new-delete)
target_include_directories(MangofallOptions INTERFACE "${PROJECT_SOURCE_DIR}/Source")
target_compile_definitions(MangofallOptions INTERFACE BOOST_ASIO_NO_DEPRECATED BOOST_ASIO_DISABLE_BOOST_COROUTINE)

# mangofall_add_module(NAME SOURCES... [LINK target...]): a static library for Source/<NAME>.
function(mangofall_add_module name)
  cmake_parse_arguments(MODULE "" "" "SOURCES;LINK" ${ARGN})
  add_library(Mangofall${name} STATIC ${MODULE_SOURCES})
  target_link_libraries(Mangofall${name} PUBLIC MangofallOptions ${MODULE_LINK})
endfunction()

if(BUILD_TESTING)
  # One object for all test programs, so that it is compiled and linted once.
  add_library(MangofallTestMain OBJECT "${PROJECT_SOURCE_DIR}/Tests/TestMain.cpp")
  target_link_libraries(MangofallTestMain PRIVATE MangofallOptions PkgConfig::CppUTest)
  target_compile_definitions(MangofallTestMain PRIVATE CPPUTEST_MEM_LEAK_DETECTION_DISABLED)
endif()

# mangofall_add_test(NAME SOURCES... LINK target... [LABELS label...]): a CppUTest program run by ctest with a fixed RapidCheck seed.
function(mangofall_add_test name)
  cmake_parse_arguments(TEST "" "" "SOURCES;LINK;LABELS" ${ARGN})
  add_executable(${name} ${TEST_SOURCES})
  # CppUTest's leak detection redefines new, which breaks headers included after it.
  target_compile_definitions(${name} PRIVATE CPPUTEST_MEM_LEAK_DETECTION_DISABLED)
  target_include_directories(${name} PRIVATE "${PROJECT_SOURCE_DIR}/Tests")
  target_link_libraries(${name} PRIVATE MangofallTestMain MangofallOptions ${TEST_LINK} PkgConfig::CppUTest rapidcheck)
  add_test(NAME ${name} COMMAND ${name})
  set_tests_properties(${name} PROPERTIES ENVIRONMENT "RC_PARAMS=seed=20261204" TIMEOUT 300 LABELS "${TEST_LABELS}")
endfunction()
