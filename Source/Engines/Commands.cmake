add_library(MangofallEngineCommands STATIC
  "${CMAKE_CURRENT_LIST_DIR}/EngineCommander.cpp"
  "${CMAKE_CURRENT_LIST_DIR}/EngineState.cpp"
  "${CMAKE_CURRENT_LIST_DIR}/WeightLoadBudget.cpp"
)
target_link_libraries(MangofallEngineCommands PUBLIC MangofallOptions MangofallBase MangofallMembership)
