mangofall_add_module(LongPrompts
  SOURCES
    LongPromptCoordinator.cpp
    LongPromptPlanner.cpp
    OrphanCollector.cpp
    ReservationTable.cpp
  LINK MangofallBase
)
