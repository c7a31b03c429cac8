#include "cornelfront/dispatcher.h"

namespace cornelfront {

std::string_view
ToString(Outcome aOutcome)
{
  switch (aOutcome) {
    case Outcome::Completed:
      return "completed";
    case Outcome::Failed:
      return "failed";
    case Outcome::Refused:
      return "refused";
  }
  return "";
}

} // namespace cornelfront
