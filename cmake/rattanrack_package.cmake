# Compiler settings that every target of the project shares.
add_library(rattanrack_settings INTERFACE)
target_compile_features(rattanrack_settings INTERFACE cxx_std_20)
target_compile_options(rattanrack_settings INTERFACE
    $<BUILD_INTERFACE:-Wall -Wextra -Werror -Wshadow=local -Wnon-virtual-dtor -Wno-missing-field-initializers>)
# GCC 12 sees an overlapping copy in an optimised `"text" + string` where there is none (GCC bug 105651).
if(CMAKE_CXX_COMPILER_ID STREQUAL "GNU" AND CMAKE_CXX_COMPILER_VERSION VERSION_LESS 13)
    target_compile_options(rattanrack_settings INTERFACE $<BUILD_INTERFACE:-Wno-restrict>)
endif()
if(RATTANRACK_SANITIZE)
    target_compile_options(rattanrack_settings INTERFACE
        $<BUILD_INTERFACE:-fsanitize=${RATTANRACK_SANITIZE} -fno-omit-frame-pointer -fno-sanitize-recover=all>)
    target_link_options(rattanrack_settings INTERFACE $<BUILD_INTERFACE:-fsanitize=${RATTANRACK_SANITIZE}>)
endif()

# rattanrack_package(name SOURCES ... PUBLIC libs... PRIVATE libs...)
# defines the static library rattanrack_<name>, exported as rattanrack::<name>.
function(rattanrack_package name)
    cmake_parse_arguments(ARG "" "" "SOURCES;PUBLIC;PRIVATE" ${ARGN})
    set(target rattanrack_${name})
    add_library(${target} STATIC ${ARG_SOURCES})
    add_library(rattanrack::${name} ALIAS ${target})
    set_target_properties(${target} PROPERTIES EXPORT_NAME ${name})
    target_include_directories(${target}
        PUBLIC $<BUILD_INTERFACE:${CMAKE_CURRENT_SOURCE_DIR}/include> $<INSTALL_INTERFACE:include>
        PRIVATE ${CMAKE_CURRENT_SOURCE_DIR}/src)
    target_link_libraries(${target} PUBLIC rattanrack_settings ${ARG_PUBLIC} PRIVATE ${ARG_PRIVATE})
    set_property(GLOBAL APPEND PROPERTY RATTANRACK_PACKAGES ${target})
    install(DIRECTORY include/ DESTINATION include)
endfunction()

# rattanrack_test(name [CONCURRENT] [SHARDS count] SOURCES ... LIBRARIES ...)
# defines a GoogleTest program and its CTest entry, or one a shard. CONCURRENT tests run once more under the thread sanitizer.
function(rattanrack_test name)
    if(NOT RATTANRACK_BUILD_TESTS)
        return()
    endif()
    cmake_parse_arguments(ARG "CONCURRENT" "SHARDS" "SOURCES;LIBRARIES" ${ARGN})
    add_executable(${name} ${ARG_SOURCES})
    target_link_libraries(${name} PRIVATE rattanrack_settings ${ARG_LIBRARIES} rapidcheck rapidcheck_gtest
        GTest::gtest GTest::gmock GTest::gtest_main)
    set(shards 1)
    if(ARG_SHARDS)
        set(shards ${ARG_SHARDS})
    endif()
    math(EXPR last "${shards} - 1")
    # Shards run side by side and hold all tests together.
    foreach(shard RANGE ${last})
        set(test ${name})
        if(shards GREATER 1)
            set(test ${name}_${shard})
        endif()
        add_test(NAME ${test} COMMAND ${name})
        set_tests_properties(${test} PROPERTIES TIMEOUT 900 ENVIRONMENT
            "RC_PARAMS=seed=20261204;GTEST_TOTAL_SHARDS=${shards};GTEST_SHARD_INDEX=${shard}")
        if(ARG_CONCURRENT)
            set_tests_properties(${test} PROPERTIES LABELS concurrent)
        endif()
    endforeach()
endfunction()
