# Builds the gateway into the folder target: cmake [-D JOBS=6] -P cmake/BuildGateway.cmake
#
# The program is always made of the sources as they are, whatever target holds: a tree of other or
# newer sources, of another path, compiler or processor, or of a build that was interrupted. Such a
# tree is removed first, because Make compares times only. A build that fails leaves no program.

cmake_minimum_required(VERSION 3.25)
include(${CMAKE_CURRENT_LIST_DIR}/SourceDigest.cmake)

set(tree ${apricotrock_source_dir}/target)
set(program ${tree}/bin/apricotrock-gateway)
# Describes the last build that ended well.
set(stamp ${tree}/build-stamp.txt)
if(NOT JOBS)
    set(JOBS 6)
endif()
set(options -D CMAKE_BUILD_TYPE=Release -D APRICOTROCK_TESTS=OFF -D APRICOTROCK_ONLY_GATEWAY=ON)

function(fail reason)
    file(REMOVE ${program} ${stamp})
    message(FATAL_ERROR "${reason}; no program is left in ${tree}")
endfunction()

# Sets out to what a tree depends on beside the sources.
function(describe_origin out)
    set(compiler $ENV{CXX})
    if(NOT compiler)
        set(compiler c++)
    endif()
    execute_process(COMMAND ${compiler} --version OUTPUT_VARIABLE version ERROR_QUIET)
    execute_process(COMMAND uname -m OUTPUT_VARIABLE processor OUTPUT_STRIP_TRAILING_WHITESPACE)
    file(REAL_PATH ${apricotrock_source_dir} path)
    string(SHA256 digest "${path};${processor};${compiler};${version};${CMAKE_VERSION};${options};\
$ENV{CXXFLAGS};$ENV{CPPFLAGS};$ENV{LDFLAGS}")
    set(${out} ${digest} PARENT_SCOPE)
endfunction()

# Sets out to the time and the contents of the program.
function(describe_program out)
    set(description missing)
    if(EXISTS ${program})
        file(TIMESTAMP ${program} time "%s" UTC)
        file(SHA256 ${program} digest)
        set(description "${time};${digest}")
    endif()
    set(${out} "${description}" PARENT_SCOPE)
endfunction()

# Sets out to true if Make can find in the tree what has to be built: all changed sources are newer
# than the program, and the tree was not copied without its times.
function(check_tree origin manifest out)
    set(${out} FALSE PARENT_SCOPE)
    if(NOT EXISTS ${stamp})
        return()
    endif()
    file(STRINGS ${stamp} lines)
    list(POP_FRONT lines stamped_origin stamped_time stamped_digest)
    describe_program(description)
    if(NOT stamped_origin STREQUAL origin
       OR NOT "${stamped_time};${stamped_digest}" STREQUAL description)
        return()
    endif()
    foreach(entry ${manifest})
        list(FIND lines "${entry}" index)
        if(index EQUAL -1)
            string(REGEX REPLACE "=[^=]*$" "" path "${entry}")
            file(TIMESTAMP ${apricotrock_source_dir}/${path} time "%s" UTC)
            if(time LESS_EQUAL stamped_time)
                return()
            endif()
        endif()
    endforeach()
    # A removed source may leave its object, or hide another file.
    foreach(entry ${lines})
        string(REGEX REPLACE "=[^=]*$" "" path "${entry}")
        if(NOT EXISTS ${apricotrock_source_dir}/${path})
            return()
        endif()
    endforeach()
    set(${out} TRUE PARENT_SCOPE)
endfunction()

apricotrock_source_manifest(manifest)
apricotrock_manifest_digest("${manifest}" digest)
describe_origin(origin)
check_tree(${origin} "${manifest}" is_usable)
if(NOT is_usable)
    file(REMOVE_RECURSE ${tree})
endif()
# An interrupted build must not look like a finished one.
file(REMOVE ${stamp})

execute_process(COMMAND ${CMAKE_COMMAND} -S ${apricotrock_source_dir} -B ${tree} ${options}
                RESULT_VARIABLE result)
if(NOT result EQUAL 0)
    fail("The build cannot be configured")
endif()
execute_process(COMMAND ${CMAKE_COMMAND} --build ${tree} -j ${JOBS} --target apricotrock-gateway
                RESULT_VARIABLE result)
if(NOT result EQUAL 0)
    fail("The build failed")
endif()
apricotrock_source_manifest(manifest_after)
if(NOT manifest_after STREQUAL manifest)
    fail("The sources were changed during the build")
endif()
execute_process(COMMAND ${program} --version OUTPUT_VARIABLE version RESULT_VARIABLE result)
if(NOT result EQUAL 0 OR NOT version MATCHES "sources ${digest}")
    fail("The program does not say that it is made of the sources ${digest}")
endif()
describe_program(description)
list(JOIN manifest "\n" lines)
list(JOIN description "\n" description)
file(WRITE ${stamp} "${origin}\n${description}\n${lines}\n")
message("apricotrock-gateway of the sources ${digest}")
