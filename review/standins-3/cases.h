#pragma once

/// \file
/// The cases of the review.

#include <string>

namespace review {

/// False if TROUBLE=0 is in the environment.
bool
HasTrouble();

/// Plays a case and returns the exit code.
int
Play(const std::string& aName, bool aTrouble);

} // namespace review
