# Declares one module: a static library hg_NAME and its unit tests NAME_test.
#   hg_module(NAME SOURCES ... DEPS ... [TESTS ...])
# Tests named *_property_test.cc link RapidCheck.
function(hg_module NAME)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPS;TESTS" ${ARGN})
  add_library(hg_${NAME} STATIC ${ARG_SOURCES})
  target_include_directories(hg_${NAME} PUBLIC ${PROJECT_SOURCE_DIR}/src)
  target_link_libraries(hg_${NAME} PUBLIC ${ARG_DEPS} Threads::Threads)
  if(ARG_TESTS AND BUILD_TESTING)
    add_executable(${NAME}_test ${ARG_TESTS})
    target_include_directories(${NAME}_test PRIVATE ${PROJECT_SOURCE_DIR})
    target_link_libraries(${NAME}_test PRIVATE hg_${NAME} GTest::gmock GTest::gtest_main rapidcheck)
    target_compile_definitions(${NAME}_test
      PRIVATE HG_TEST_DATA_DIR="${CMAKE_CURRENT_SOURCE_DIR}/tests/data"
              HG_SOURCE_DIR="${PROJECT_SOURCE_DIR}")
    gtest_discover_tests(${NAME}_test
      TEST_PREFIX "${NAME}." DISCOVERY_TIMEOUT 60
      PROPERTIES TIMEOUT 120 ENVIRONMENT "RC_PARAMS=seed=20261204")
  endif()
endfunction()
