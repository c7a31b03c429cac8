# Third-party libraries, all of them Debian packages (see packages.txt).
find_package(Threads REQUIRED)
find_package(CURL REQUIRED)
find_package(OpenSSL REQUIRED)
find_package(yaml-cpp REQUIRED)
find_package(prometheus-cpp CONFIG REQUIRED)
if(CORNELFRONT_TESTS)
  find_package(GTest CONFIG REQUIRED)
  find_package(benchmark CONFIG REQUIRED)
endif()

find_library(MICROHTTPD_LIBRARY microhttpd REQUIRED)
find_library(GLOG_LIBRARY glog REQUIRED)
