# Adds the library of a package. Its sources are in src/<name> or in FOLDER, its
# public headers in include/magnoliatide/<name>. DEPENDS lists the packages and
# libraries it uses; a package may use only packages of lower layers. ASIO
# precompiles the headers of Asio.
function(magnoliatide_module aName)
  cmake_parse_arguments(ARG "ASIO" "FOLDER" "DEPENDS" ${ARGN})
  if(NOT ARG_FOLDER)
    set(ARG_FOLDER ${CMAKE_CURRENT_SOURCE_DIR}/${aName})
  endif()
  file(GLOB sources CONFIGURE_DEPENDS ${ARG_FOLDER}/*.cpp)
  list(FILTER sources EXCLUDE REGEX "_(test|bench|fuzz)\\.cpp$")
  add_library(magnoliatide_${aName} STATIC ${sources})
  target_include_directories(magnoliatide_${aName} PUBLIC ${PROJECT_SOURCE_DIR}/include)
  target_link_libraries(magnoliatide_${aName} PUBLIC ${ARG_DEPENDS} Boost::headers Threads::Threads)
  if(ARG_ASIO)
    magnoliatide_precompile(magnoliatide_${aName})
  endif()
endfunction()

# Precompiles the headers of Asio and Beast, which dominate the build time.
# Does nothing if MAGNOLIATIDE_PCH is off.
function(magnoliatide_precompile aTarget)
  if(MAGNOLIATIDE_PCH)
    target_precompile_headers(${aTarget} PRIVATE
      <boost/asio.hpp> <boost/beast/core.hpp> <boost/beast/http.hpp>
      <boost/json.hpp> <functional> <memory> <string> <vector>)
  endif()
endfunction()

# Adds the test program of a package, from the tests beside its sources in
# src/<name> or in FOLDER. The fixed seed makes property-based tests repeatable.
function(magnoliatide_tests aName)
  cmake_parse_arguments(ARG "" "FOLDER" "" ${ARGN})
  if(NOT ARG_FOLDER)
    set(ARG_FOLDER ${CMAKE_CURRENT_SOURCE_DIR}/${aName})
  endif()
  file(GLOB tests CONFIGURE_DEPENDS ${ARG_FOLDER}/*_test.cpp)
  if(NOT tests)
    return()
  endif()
  add_executable(magnoliatide_${aName}_test ${tests})
  target_link_libraries(magnoliatide_${aName}_test PRIVATE
    magnoliatide_${aName} rapidcheck gtest gtest_main)
  gtest_discover_tests(magnoliatide_${aName}_test
    PROPERTIES ENVIRONMENT "RC_PARAMS=seed=20261204")
endfunction()
