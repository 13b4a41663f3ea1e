# Tests that BuildGateway.cmake never leaves a program of other sources, for a small project:
# cmake -D SOURCE_DIR=... -D WORK_DIR=... -P buildgatewaytest.cmake

set(project ${WORK_DIR}/project)
set(moved ${WORK_DIR}/moved)

function(write_value dir value)
    file(WRITE ${dir}/packages/value.h "#define VALUE ${value}\n")
endfunction()

# Gives a source the time of an archive.
function(age path)
    execute_process(COMMAND touch -d 2001-01-01 ${path} COMMAND_ERROR_IS_FATAL ANY)
endfunction()

function(build dir out)
    execute_process(COMMAND ${CMAKE_COMMAND} -P ${dir}/cmake/BuildGateway.cmake
                    RESULT_VARIABLE result OUTPUT_QUIET ERROR_QUIET)
    set(${out} ${result} PARENT_SCOPE)
endfunction()

# Builds, and expects a program of the sources as they are.
function(expect_value dir value what)
    build(${dir} result)
    if(NOT result EQUAL 0)
        message(FATAL_ERROR "${what}: the build failed")
    endif()
    execute_process(COMMAND ${dir}/target/bin/apricotrock-gateway OUTPUT_VARIABLE output)
    if(NOT output MATCHES "^value ${value}, sources [0-9a-f]+\n$")
        message(FATAL_ERROR "${what}: expected value ${value}, got ${output}")
    endif()
endfunction()

function(expect_no_program dir what)
    build(${dir} result)
    if(result EQUAL 0 OR EXISTS ${dir}/target/bin/apricotrock-gateway)
        message(FATAL_ERROR "${what}: a program was left")
    endif()
endfunction()

function(program_time dir out)
    file(TIMESTAMP ${dir}/target/bin/apricotrock-gateway time "%s" UTC)
    set(${out} ${time} PARENT_SCOPE)
endfunction()

file(REMOVE_RECURSE ${WORK_DIR})
file(MAKE_DIRECTORY ${project}/cmake)
file(COPY ${SOURCE_DIR}/cmake/SourceDigest.cmake ${SOURCE_DIR}/cmake/BuildGateway.cmake
     DESTINATION ${project}/cmake)
file(WRITE ${project}/CMakeLists.txt "cmake_minimum_required(VERSION 3.25)
project(small LANGUAGES CXX)
include(cmake/SourceDigest.cmake)
set(CMAKE_RUNTIME_OUTPUT_DIRECTORY \${CMAKE_BINARY_DIR}/bin)
add_executable(apricotrock-gateway platform/main.cpp)
target_include_directories(apricotrock-gateway PRIVATE packages)
target_compile_features(apricotrock-gateway PRIVATE cxx_std_20)
apricotrock_target_source_digest(apricotrock-gateway)
")
file(WRITE ${project}/platform/main.cpp "#include \"sourcedigest.h\"
#include \"value.h\"
#include <iostream>
int main()
{
    std::cout << \"value \" << VALUE << \", sources \" << apricotrock::sourceDigest << '\\n';
}
")
write_value(${project} 1)
expect_value(${project} 1 "first build")

# A build of unchanged sources costs no compilation.
program_time(${project} before)
execute_process(COMMAND ${CMAKE_COMMAND} -E sleep 1.1)
expect_value(${project} 1 "unchanged sources")
program_time(${project} after)
if(NOT before EQUAL after)
    message(FATAL_ERROR "unchanged sources: the program was built again")
endif()

write_value(${project} 2)
expect_value(${project} 2 "changed source")

# Guards against a program of newer or older sources, whose times Make compares.
write_value(${project} 3)
age(${project}/packages/value.h)
expect_value(${project} 3 "changed source with an old time")

# Guards against a tree that CMake refuses, because it was made at another path.
execute_process(COMMAND cp -a ${project} ${moved} COMMAND_ERROR_IS_FATAL ANY)
write_value(${moved} 4)
age(${moved}/packages/value.h)
expect_value(${moved} 4 "tree of another path")

# Guards against objects that look newer than the sources, because a copy got the current time.
file(REMOVE_RECURSE ${project}/target)
execute_process(COMMAND cp -r ${moved}/target ${project}/target COMMAND_ERROR_IS_FATAL ANY)
expect_value(${project} 3 "copied tree without its times")

# Guards against trees of builds without a stamp, and against a replaced program.
file(REMOVE ${project}/target/build-stamp.txt)
write_value(${project} 5)
age(${project}/packages/value.h)
expect_value(${project} 5 "tree without a stamp")
file(WRITE ${project}/target/bin/apricotrock-gateway "#!/bin/sh\necho value 6, sources 0\n")
expect_value(${project} 5 "replaced program")

# Guards against a program that stays in place when the build fails.
write_value(${project} "\"")
expect_no_program(${project} "source that does not compile")
write_value(${project} 7)
age(${project}/packages/value.h)
expect_value(${project} 7 "build after a failed one")
file(APPEND ${project}/CMakeLists.txt "message(FATAL_ERROR wrong)\n")
expect_no_program(${project} "project that cannot be configured")
file(REMOVE_RECURSE ${WORK_DIR})
