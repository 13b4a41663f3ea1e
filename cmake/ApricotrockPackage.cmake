# Flags that every target of the workspace shares.
function(apricotrock_target_options target)
    target_compile_options(${target} PRIVATE -Wall -Wextra -Wpedantic -Wshadow=local -Werror)
    if(APRICOTROCK_SANITIZE)
        target_compile_options(${target} PRIVATE -fsanitize=${APRICOTROCK_SANITIZE}
                               -fno-omit-frame-pointer)
        target_link_options(${target} PRIVATE -fsanitize=${APRICOTROCK_SANITIZE})
        if(APRICOTROCK_SANITIZE STREQUAL "thread")
            # ThreadSanitizer does not understand the memory fences of Asio; without them Asio relies on
            # its locks, which it does understand.
            target_compile_definitions(${target} PRIVATE ASIO_DISABLE_FENCED_BLOCK)
            target_compile_options(${target} PRIVATE -Wno-tsan)
        endif()
    endif()
endfunction()

# Declares the library of one package: apricotrock_package(NAME SOURCES ... LINKS ...).
# Its public header is include/apricotrock/NAME.h; other headers below src are private to it.
function(apricotrock_package name)
    cmake_parse_arguments(arg "" "" "SOURCES;LINKS;PRIVATE_LINKS" ${ARGN})
    add_library(apricotrock_${name} STATIC ${arg_SOURCES})
    target_include_directories(apricotrock_${name} PUBLIC include PRIVATE src)
    target_link_libraries(apricotrock_${name} PUBLIC ${arg_LINKS} PRIVATE ${arg_PRIVATE_LINKS})
    apricotrock_target_options(apricotrock_${name})
endfunction()

# Declares the CppUnit test program of a package: apricotrock_test(NAME SOURCES ... LINKS ...).
# Test data below the package's tests folder is found through the macro TEST_DATA_DIR.
function(apricotrock_test name)
    if(NOT APRICOTROCK_TESTS)
        return()
    endif()
    cmake_parse_arguments(arg "" "" "SOURCES;LINKS" ${ARGN})
    add_executable(${name}_test ${arg_SOURCES} ${CMAKE_SOURCE_DIR}/tests/testmain.cpp)
    target_link_libraries(${name}_test PRIVATE ${arg_LINKS} cppunit)
    target_compile_definitions(${name}_test PRIVATE
                               TEST_DATA_DIR="${CMAKE_CURRENT_SOURCE_DIR}/tests")
    apricotrock_target_options(${name}_test)
    add_test(NAME ${name} COMMAND ${name}_test)
endfunction()
