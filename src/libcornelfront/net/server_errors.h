#pragma once

/// \file
/// Responses that the HTTP server gives without asking its handler. Their
/// outcome is "refused" only where the handler never saw the request.

#include "cornelfront/http_server.h"

#include <cstddef>
#include <string>

namespace cornelfront {

HttpResponse
BodyTooLarge(const std::string& aSize, size_t aLimit);

HttpResponse
RequestTooSlow(Millis aLimit);

/// A header field whose value the server can't take: \p aBound says what it
/// must be.
HttpResponse
InvalidHeader(const std::string& aField,
              const std::string& aValue,
              const std::string& aBound);

/// The server stops and took no further request.
HttpResponse
Stopping();

/// The server stopped while the handler worked on the request.
HttpResponse
StoppedMeanwhile();

/// The handler threw an exception or gave no answer.
HttpResponse
HandlerFailed();

/// The response as bytes on the wire, after which the connection closes.
std::string
RawResponse(const HttpResponse& aResponse);

} // namespace cornelfront
