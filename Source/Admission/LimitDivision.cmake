add_library(MangofallLimitDivision STATIC "${CMAKE_CURRENT_LIST_DIR}/LimitDivision.cpp")
target_link_libraries(MangofallLimitDivision PUBLIC MangofallOptions MangofallBase)
