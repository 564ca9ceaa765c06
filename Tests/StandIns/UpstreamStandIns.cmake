# Stand-ins for the upstreams: a model engine and an order application.
add_library(UpstreamStandIns STATIC
  EngineModel.cpp
  EngineServer.cpp
  OrderServer.cpp
  PrefixCache.cpp
  UpstreamServer.cpp
)
target_link_libraries(UpstreamStandIns PUBLIC MangofallBase nlohmann_json::nlohmann_json Threads::Threads)
target_include_directories(UpstreamStandIns PUBLIC "${PROJECT_SOURCE_DIR}/Tests" PRIVATE "${TCLAP_INCLUDE_DIR}")

add_executable(engine-stand-in EngineStandIn.cpp)
target_link_libraries(engine-stand-in PRIVATE UpstreamStandIns)
target_include_directories(engine-stand-in PRIVATE "${TCLAP_INCLUDE_DIR}")

add_executable(order-stand-in OrderStandIn.cpp)
target_link_libraries(order-stand-in PRIVATE UpstreamStandIns)
target_include_directories(order-stand-in PRIVATE "${TCLAP_INCLUDE_DIR}")

mangofall_add_test(UpstreamStandInsTest
  SOURCES
    EngineModelTest.cpp
  LINK UpstreamStandIns
  LABELS unit
)

# The load generator parses the token text of the stand-ins, so its test is kept with them.
mangofall_add_test(LoadTest
  SOURCES
    LoadTest.cpp
  LINK MangofallLoad
  LABELS unit
)
