# Stand-ins for the platform's key-value store and its list of hosts.
add_library(MangofallStoreStandIns STATIC
  HostListServer.cpp
  HttpServer.cpp
  StandInMain.cpp
  StoreServer.cpp
  StoreState.cpp
)
target_include_directories(MangofallStoreStandIns PUBLIC "${PROJECT_SOURCE_DIR}/Tests" PRIVATE "${TCLAP_INCLUDE_DIR}")
target_link_libraries(MangofallStoreStandIns PUBLIC MangofallOptions MangofallBase Boost::headers nlohmann_json::nlohmann_json Threads::Threads)

add_executable(store-stand-in StoreStandIn.cpp)
target_link_libraries(store-stand-in PRIVATE MangofallStoreStandIns)

add_executable(host-list-stand-in HostListStandIn.cpp)
target_link_libraries(host-list-stand-in PRIVATE MangofallStoreStandIns)

mangofall_add_test(StoreStandInTest
  SOURCES StoreStateTest.cpp
  LINK MangofallStoreStandIns
  LABELS unit
)
