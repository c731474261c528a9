# Writes the version of the code to OUTPUT, when it has changed: what git describes, or else PROJECT.
# usage: cmake -DSOURCE=FOLDER -DPROJECT=VERSION -DOUTPUT=FILE [-DGIT=PROGRAM] -P write_version.cmake
set(version "")
if(GIT AND EXISTS "${SOURCE}/.git")
  execute_process(COMMAND ${GIT} --no-optional-locks describe --always --dirty
    WORKING_DIRECTORY ${SOURCE} OUTPUT_VARIABLE version OUTPUT_STRIP_TRAILING_WHITESPACE
    ERROR_QUIET RESULT_VARIABLE failed)
  if(failed)
    set(version "")
  endif()
endif()
if(version STREQUAL "")
  set(version "${PROJECT}")
endif()
file(CONFIGURE OUTPUT "${OUTPUT}" CONTENT [[
#include "jackdawvane/foundation/code_version.hpp"

namespace jackdawvane {

const char* code_version() noexcept {
    return "@version@";
}

} // namespace jackdawvane
]] @ONLY)
