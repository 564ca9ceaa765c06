mangofall_add_test(LongPromptsTest
  SOURCES
    LongPromptsFaultsTest.cpp
    LongPromptsPlannerTest.cpp
    LongPromptsReservationTest.cpp
  LINK MangofallLongPrompts
  LABELS unit
)
