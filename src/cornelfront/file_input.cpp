#include "file_input.h"

#include "cornelfront/file.h"

#include <iostream>
#include <stdexcept>

namespace cornelfront {

std::optional<std::string>
ReadInputFile(const std::string& aPath)
{
  try {
    return ReadFile(aPath);
  } catch (const std::runtime_error& error) {
    std::cerr << error.what() << '\n';
    return std::nullopt;
  }
}

void
PrintFileErrors(const std::string& aPath, const FileErrors& aErrors)
{
  for (const FileError& error : aErrors.Errors()) {
    std::cerr << aPath << ':' << error.line_ << ": " << error.key_ << ": "
              << error.message_ << '\n';
  }
}

} // namespace cornelfront
