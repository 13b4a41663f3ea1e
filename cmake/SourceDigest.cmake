# Digest of the sources that the programs are made of: `cmake -P cmake/SourceDigest.cmake` prints it.

get_filename_component(apricotrock_source_dir ${CMAKE_CURRENT_LIST_DIR} DIRECTORY)

# Sets out to a list of PATH=SHA256 of all sources, tests excluded.
function(apricotrock_source_manifest out)
    file(GLOB_RECURSE paths LIST_DIRECTORIES false RELATIVE ${apricotrock_source_dir}
         ${apricotrock_source_dir}/CMakeLists.txt
         ${apricotrock_source_dir}/cmake/*.cmake
         ${apricotrock_source_dir}/packages/*
         ${apricotrock_source_dir}/platform/*)
    list(FILTER paths INCLUDE REGEX "\\.(cmake|cpp|fbs|h|txt)$")
    # Trees below the root, such as target, have a CMakeLists.txt of no interest.
    list(FILTER paths INCLUDE REGEX "^(CMakeLists\\.txt|cmake/|packages/|platform/)")
    list(FILTER paths EXCLUDE REGEX "/tests/")
    list(SORT paths)
    set(manifest "")
    foreach(path ${paths})
        file(SHA256 ${apricotrock_source_dir}/${path} digest)
        list(APPEND manifest "${path}=${digest}")
    endforeach()
    set(${out} "${manifest}" PARENT_SCOPE)
endfunction()

# Sets out to the digest of a manifest.
function(apricotrock_manifest_digest manifest out)
    string(SHA256 digest "${manifest}")
    string(SUBSTRING ${digest} 0 16 digest)
    set(${out} ${digest} PARENT_SCOPE)
endfunction()

if(CMAKE_SCRIPT_MODE_FILE STREQUAL CMAKE_CURRENT_LIST_FILE)
    cmake_minimum_required(VERSION 3.25)
    apricotrock_source_manifest(manifest)
    apricotrock_manifest_digest("${manifest}" digest)
    if(OUTPUT)
        # Written only if it changes, so that nothing is compiled without need.
        file(CONFIGURE OUTPUT ${OUTPUT} @ONLY CONTENT "#pragma once

#include <string_view>

namespace apricotrock {

/// Digest of the sources that the program is made of; see cmake/SourceDigest.cmake.
inline constexpr std::string_view sourceDigest = \"@digest@\";

} // namespace apricotrock
")
    else()
        message(${digest})
    endif()
elseif(NOT CMAKE_SCRIPT_MODE_FILE)
    # Gives a program the header sourcedigest.h, which is brought up to date by each build.
    function(apricotrock_target_source_digest target)
        if(NOT TARGET apricotrock_source_digest)
            add_custom_target(apricotrock_source_digest
                COMMAND ${CMAKE_COMMAND} -D OUTPUT=${CMAKE_BINARY_DIR}/generated/sourcedigest.h
                        -P ${apricotrock_source_dir}/cmake/SourceDigest.cmake
                BYPRODUCTS ${CMAKE_BINARY_DIR}/generated/sourcedigest.h)
        endif()
        add_dependencies(${target} apricotrock_source_digest)
        target_include_directories(${target} PRIVATE ${CMAKE_BINARY_DIR}/generated)
    endfunction()
endif()
