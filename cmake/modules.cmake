# Adds the library of a module; its public headers are included as "<module>/<header>.h".
function(flamingousher_add_module name)
    cmake_parse_arguments(MODULE "" "" "SOURCES;DEPENDS" ${ARGN})
    add_library(flamingousher_${name} STATIC ${MODULE_SOURCES})
    target_include_directories(flamingousher_${name} PUBLIC ${PROJECT_SOURCE_DIR}/src)
    target_link_libraries(flamingousher_${name} PUBLIC ${MODULE_DEPENDS})
endfunction()

# Adds the test program of a module and registers it with CTest.
function(flamingousher_add_tests name)
    if(NOT FLAMINGOUSHER_TESTS)
        return()
    endif()
    cmake_parse_arguments(TESTS "" "" "SOURCES;DEPENDS" ${ARGN})
    add_executable(flamingousher_${name}_tests ${TESTS_SOURCES})
    target_link_libraries(flamingousher_${name}_tests PRIVATE flamingousher_${name} PkgConfig::CRITERION ${TESTS_DEPENDS})
    target_compile_definitions(flamingousher_${name}_tests PRIVATE TEST_DATA_DIR="${CMAKE_CURRENT_SOURCE_DIR}/tests/data")
    add_test(NAME ${name}
        COMMAND bash ${PROJECT_SOURCE_DIR}/tests/unit-test.sh $<TARGET_FILE:flamingousher_${name}_tests>)
    set_tests_properties(${name} PROPERTIES ENVIRONMENT "RC_PARAMS=seed=20261")
endfunction()
