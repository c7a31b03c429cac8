#pragma once

/// \file
/// Checks of a request's header that concern every handler: where the request
/// ends must not be open to interpretation.

#include "cornelfront/http_server.h"

#include <optional>

namespace cornelfront {

/// Returns the answer to a request whose header is faulty. Fields that came
/// several times must be joined as in HttpRequest.
std::optional<HttpResponse>
CheckFraming(const HttpRequest& aRequest);

} // namespace cornelfront
