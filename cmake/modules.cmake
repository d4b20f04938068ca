# Adds the library of one module, its public headers reachable as "<module>/<header>.h".
function(flamingousher_add_module name)
    cmake_parse_arguments(MODULE "" "" "SOURCES;DEPENDS" ${ARGN})
    add_library(flamingousher_${name} STATIC ${MODULE_SOURCES})
    target_include_directories(flamingousher_${name} PUBLIC ${PROJECT_SOURCE_DIR}/src)
    target_link_libraries(flamingousher_${name} PUBLIC ${MODULE_DEPENDS})
endfunction()

# Adds the one test program of a module and registers it with CTest.
function(flamingousher_add_tests name)
    cmake_parse_arguments(TESTS "" "" "SOURCES;DEPENDS" ${ARGN})
    add_executable(flamingousher_${name}_tests ${TESTS_SOURCES})
    target_link_libraries(flamingousher_${name}_tests PRIVATE flamingousher_${name} PkgConfig::CRITERION ${TESTS_DEPENDS})
    target_compile_definitions(flamingousher_${name}_tests PRIVATE TEST_DATA_DIR="${CMAKE_CURRENT_SOURCE_DIR}/tests/data")
    add_test(NAME ${name} COMMAND flamingousher_${name}_tests --jobs 2)
    set_tests_properties(${name} PROPERTIES ENVIRONMENT "RC_PARAMS=seed=20261")
endfunction()
