#include "cornelfront/schema.h"

namespace cornelfront {
namespace {

std::string
Join(const std::vector<FileError>& aErrors)
{
  std::string text;
  for (const FileError& error : aErrors) {
    text += text.empty() ? "" : "\n";
    text += error.line_ > 0 ? "line " + std::to_string(error.line_) + ": " : "";
    text += error.key_.empty() ? "" : error.key_ + ": ";
    text += error.message_;
  }
  return text;
}

} // namespace

FileErrors::FileErrors(std::vector<FileError> aErrors)
  : std::runtime_error(Join(aErrors))
  , errors_(std::move(aErrors))
{
}

} // namespace cornelfront
