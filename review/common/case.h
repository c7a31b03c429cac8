#pragma once

/// \file
/// What a case is to the program that plays it.

#include "deployment.h"

namespace cornelfront::review {

/// Plays a case and returns true if the rule held. \p aTrouble is false if the
/// disruption is left out.
using Case = bool (*)(Record& aRecord, bool aTrouble);

bool
PlayCase1(Record& aRecord, bool aTrouble);
bool
PlayCase2(Record& aRecord, bool aTrouble);
bool
PlayCase3(Record& aRecord, bool aTrouble);
bool
PlayCase4(Record& aRecord, bool aTrouble);
bool
PlayCase5(Record& aRecord, bool aTrouble);

} // namespace cornelfront::review
