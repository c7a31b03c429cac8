#include "cornelfront/caller_request.h"
#include "cornelfront/refusal.h"

#include <algorithm>
#include <string_view>

namespace cornelfront {

namespace {

/// Splitting a path stops after more than this number of segments; no route has
/// as many.
constexpr size_t kMaxSegments = 6;

/// Splits a path at its slashes. The leading slash yields no empty segment.
std::vector<std::string>
SplitPath(std::string_view aPath)
{
  std::vector<std::string> segments;
  while (!aPath.empty() && segments.size() <= kMaxSegments) {
    aPath.remove_prefix(1);
    const size_t end = std::min(aPath.find('/'), aPath.size());
    segments.emplace_back(aPath.substr(0, end));
    aPath.remove_prefix(end);
  }
  return segments;
}

CallerRoute
RequireMethod(const std::string& aMethod,
              const std::string& aAllowed,
              CallerRoute aRoute)
{
  if (aMethod != aAllowed) {
    return WrongMethod{ aAllowed };
  }
  return aRoute;
}

CallerRoute
ParseServiceRoute(const std::string& aMethod,
                  const std::vector<std::string>& aSegments)
{
  if (aSegments.size() == 5 && aSegments[3] == "calls") {
    return RequireMethod(
      aMethod,
      "POST",
      CallRoute{ .service_ = aSegments[2], .call_ = aSegments[4] });
  }
  if (aSegments.size() == 4 && aSegments[3] == "jobs") {
    return RequireMethod(aMethod, "POST", JobRoute{ .service_ = aSegments[2] });
  }
  return UnknownRoute{};
}

CallerRoute
ParseSubmissionRoute(const std::string& aMethod, const std::string& aId)
{
  if (aMethod != "GET" && aMethod != "DELETE") {
    return WrongMethod{ "GET, DELETE" };
  }
  const auto id = ParseSubmissionId(aId);
  if (!id) {
    throw RequestError({ .reason_ = RefusalReason::InvalidField,
                         .field_ = "submission",
                         .value_ = aId,
                         .bound_ = "must be <key prefix>.<suffix>" });
  }
  if (aMethod == "GET") {
    return LookUpRoute{ *id };
  }
  return CancelRoute{ *id };
}

} // namespace

CallerRoute
ParseRoute(const std::string& aMethod, const std::string& aPath)
{
  const std::vector<std::string> segments = SplitPath(aPath);
  if (segments.size() < 2 || segments[0] != "v1") {
    return UnknownRoute{};
  }
  if (segments.size() == 2 && segments[1] == "key-prefix") {
    return RequireMethod(aMethod, "GET", KeyPrefixRoute{});
  }
  if (segments[1] == "services") {
    return ParseServiceRoute(aMethod, segments);
  }
  if (segments.size() == 3 && segments[1] == "jobs") {
    return ParseSubmissionRoute(aMethod, segments[2]);
  }
  return UnknownRoute{};
}

} // namespace cornelfront
