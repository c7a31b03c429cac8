#pragma once

/// \file
/// JSON format of jobs in the interface to the platform's clients.

#include "cornelfront/job.h"

#include <string>
#include <string_view>

namespace cornelfront::platform {

/// Parses and validates a submitted job.
/// \throws JobError that describes the problem
JobDescription
ParseJob(const std::string& aId, std::string_view aBody);

/// Returns the response body for a job state query.
std::string
StateBody(std::string_view aState);

/// Returns the response body for a queue length query.
std::string
PendingBody(size_t aPending);

} // namespace cornelfront::platform
