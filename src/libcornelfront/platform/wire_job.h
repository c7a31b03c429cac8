#pragma once

/// \file
/// Jobs as the platform's clients write them.

#include "cornelfront/job.h"

#include <string>
#include <string_view>

namespace cornelfront::platform {

/// Reads and checks a submitted job.
/// \throws JobError with what is wrong
JobDescription
ParseJob(const std::string& aId, std::string_view aBody);

/// Body of the answer to a question for a job's state.
std::string
StateBody(std::string_view aState);

/// Body of the answer to a question for a queue's length.
std::string
PendingBody(size_t aPending);

} // namespace cornelfront::platform
