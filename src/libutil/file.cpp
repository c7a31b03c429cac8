#include "cornelfront/file.h"

#include <fstream>
#include <sstream>
#include <stdexcept>

namespace cornelfront {

std::string
ReadFile(const std::string& aPath)
{
  std::ifstream file(aPath);
  if (!file) {
    throw std::runtime_error(aPath + ": cannot be read");
  }
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

} // namespace cornelfront
