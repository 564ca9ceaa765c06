mangofall_add_test(EngineCommandsTest
  SOURCES
    CommandsTestCommander.cpp
    CommandsTestWeightLoads.cpp
  LINK MangofallEngineCommands
  LABELS unit
)
