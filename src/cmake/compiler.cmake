# Language level, warnings and the optional sanitizers of every target.
set(CMAKE_CXX_STANDARD 20)
set(CMAKE_CXX_STANDARD_REQUIRED ON)
set(CMAKE_CXX_EXTENSIONS OFF)
set(CMAKE_EXPORT_COMPILE_COMMANDS ON)

if(NOT CMAKE_BUILD_TYPE)
  set(CMAKE_BUILD_TYPE Release)
endif()

option(CORNELFRONT_WERROR "Treat warnings as errors" ON)
set(CORNELFRONT_SANITIZE "" CACHE STRING
    "Value for -fsanitize=, such as thread or address,undefined")

# Option structs are built with designated initialisers that name only what
# differs from the defaults.
add_compile_options(-Wall -Wextra -Wpedantic -Wshadow
                    -Wno-missing-field-initializers)
if(CORNELFRONT_WERROR)
  add_compile_options(-Werror)
endif()

if(CORNELFRONT_SANITIZE)
  add_compile_options(-fsanitize=${CORNELFRONT_SANITIZE}
                      -fno-omit-frame-pointer -g -O1
                      -Wno-maybe-uninitialized)
  if(CORNELFRONT_SANITIZE STREQUAL "thread")
    # asio uses fences, which GCC's ThreadSanitizer does not model.
    add_compile_options(-Wno-tsan)
  endif()
  add_link_options(-fsanitize=${CORNELFRONT_SANITIZE})
endif()

find_program(CCACHE_PROGRAM ccache)
if(CCACHE_PROGRAM)
  # Paths count relative to the checkout, so that all checkouts on a machine
  # share the cache.
  set(CMAKE_CXX_COMPILER_LAUNCHER
      ${CMAKE_COMMAND} -E env CCACHE_BASEDIR=${PROJECT_SOURCE_DIR}
      CCACHE_NOHASHDIR=true ${CCACHE_PROGRAM})
endif()
