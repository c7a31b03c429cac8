#pragma once

/// \file
/// Checks the headers that determine where a request ends. An ambiguous length
/// would allow request smuggling, so these checks apply to every handler.

#include "cornelfront/http_server.h"

#include <optional>

namespace cornelfront {

/// Returns an error response if the framing headers are invalid, else nullopt.
/// Repeated fields must be joined as described for HttpRequest::headers_.
std::optional<HttpResponse>
CheckFraming(const HttpRequest& aRequest);

} // namespace cornelfront
