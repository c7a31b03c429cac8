# Unit tests lie beside what they test; one executable per component.
option(CORNELFRONT_TESTS "Build the tests, stand-ins and benchmarks" ON)
if(CORNELFRONT_TESTS)
  enable_testing()
  include(GoogleTest)
endif()

# Seconds after which a hanging test is ended; sanitizers slow the explorers.
set(CORNELFRONT_TEST_TIMEOUT 120)
if(CORNELFRONT_SANITIZE)
  set(CORNELFRONT_TEST_TIMEOUT 900)
endif()

# cornelfront_unit_tests(<target> LIBRARIES <lib>... SOURCES <file>...)
function(cornelfront_unit_tests target)
  if(NOT CORNELFRONT_TESTS)
    return()
  endif()
  cmake_parse_arguments(ARG "" "" "LIBRARIES;SOURCES" ${ARGN})
  add_executable(${target} ${ARG_SOURCES})
  # Some tests compare the code with docs/.
  target_compile_definitions(
    ${target} PRIVATE CORNELFRONT_SOURCE_DIR="${PROJECT_SOURCE_DIR}")
  target_link_libraries(${target} PRIVATE ${ARG_LIBRARIES} GTest::gmock_main)
  # A printed parameter may hold addresses; the CTest name must be stable.
  gtest_discover_tests(${target} NO_PRETTY_VALUES DISCOVERY_TIMEOUT 60
                       PROPERTIES TIMEOUT ${CORNELFRONT_TEST_TIMEOUT})
endfunction()
