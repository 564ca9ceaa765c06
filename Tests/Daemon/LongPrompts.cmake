mangofall_add_test(LongPromptsDaemonTest
  SOURCES LongPromptsDaemonTest.cpp
  LINK MangofallDaemon
  LABELS unit
)
