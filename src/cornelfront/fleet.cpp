#include "fleet.h"

#include "cornelfront/http_client.h"

#include <algorithm>
#include <atomic>
#include <map>
#include <stdexcept>
#include <thread>
#include <unordered_set>

namespace cornelfront {
namespace {

constexpr size_t kFetchThreads = 16;

// A process to send a request to.
struct FetchTarget
{
  std::string process_;
  // Empty if the address is unknown.
  std::string url_;
};

// Response body, or the error if the request failed.
struct FetchResult
{
  std::string body_;
  std::string error_;
};

std::string
UrlOf(const std::string& aEndpoint)
{
  return aEndpoint.empty() ? "" : "http://" + aEndpoint;
}

std::string
WithoutSlash(std::string aUrl)
{
  while (!aUrl.empty() && aUrl.back() == '/') {
    aUrl.pop_back();
  }
  return aUrl;
}

FetchResult
Fetch(HttpClient& aClient,
      const FetchTarget& aTarget,
      const std::string& aPath,
      Millis aTimeout)
{
  if (aTarget.url_.empty()) {
    return { "", "its HTTP address is not known" };
  }
  const HttpResult result = aClient.Perform({ .url_ = aTarget.url_ + aPath,
                                              .connectTimeout_ = aTimeout,
                                              .timeout_ = aTimeout });
  if (result.failure_ != HttpFailure::None) {
    return { "", result.error_ };
  }
  if (!result.Ok()) {
    return { "", "HTTP status " + std::to_string(result.response_.status_) };
  }
  return { result.response_.body_, "" };
}

// Requests the path from every process, up to kFetchThreads at a time. Results
// are in the order of aTargets.
std::vector<FetchResult>
FetchEach(const std::vector<FetchTarget>& aTargets,
          const std::string& aPath,
          Millis aTimeout)
{
  std::vector<FetchResult> answers(aTargets.size());
  std::atomic<size_t> next{ 0 };
  const auto run = [&] {
    HttpClient client;
    for (size_t i = next++; i < aTargets.size(); i = next++) {
      answers[i] = Fetch(client, aTargets[i], aPath, aTimeout);
    }
  };
  std::vector<std::thread> threads;
  threads.reserve(kFetchThreads);
  for (size_t i = 0; i < std::min(kFetchThreads, aTargets.size()); ++i) {
    threads.emplace_back(run);
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  return answers;
}

// Decodes the responses into aItems; adds each process that failed or sent an
// invalid response to aUnreachable, with the reason.
template<class Item>
void
DecodeEach(const std::vector<FetchTarget>& aTargets,
           const std::vector<FetchResult>& aAnswers,
           Item (*aDecode)(const std::string&),
           std::vector<Item>& aItems,
           std::vector<UnreachableProcess>& aUnreachable)
{
  for (size_t i = 0; i < aTargets.size(); ++i) {
    if (!aAnswers[i].error_.empty()) {
      aUnreachable.push_back({ aTargets[i].process_, aAnswers[i].error_ });
      continue;
    }
    try {
      aItems.push_back(aDecode(aAnswers[i].body_));
    } catch (const std::runtime_error& error) {
      aUnreachable.push_back({ aTargets[i].process_, error.what() });
    }
  }
}

void
FetchStatuses(const std::vector<FetchTarget>& aTargets,
              Millis aTimeout,
              Fleet& aFleet)
{
  DecodeEach(aTargets,
             FetchEach(aTargets, "/v1/admin/status", aTimeout),
             DecodeAdminStatus,
             aFleet.entries_,
             aFleet.unreachable_);
}

std::string
NameOf(const EntryAddress& aAddress)
{
  return "entry " + ToString(aAddress.id_) + " in " + aAddress.zone_;
}

// Entries listed by other entries that have not been queried yet.
std::vector<FetchTarget>
UnqueriedEntries(const Fleet& aFleet)
{
  std::unordered_set<MemberId> queried;
  for (const AdminStatus& status : aFleet.entries_) {
    queried.insert(status.process_.member_);
  }
  std::vector<FetchTarget> others;
  for (const AdminStatus& status : aFleet.entries_) {
    for (const KnownEntry& known : status.entries_) {
      if (queried.insert(known.address_.id_).second) {
        others.push_back({ NameOf(known.address_), UrlOf(known.http_) });
      }
    }
  }
  return others;
}

void
SortAndDeduplicate(std::vector<AdminStatus>& aEntries)
{
  const auto key = [](const AdminStatus& aStatus) {
    return std::pair(aStatus.process_.name_, aStatus.process_.member_.value_);
  };
  std::sort(aEntries.begin(), aEntries.end(), [&](auto& aLeft, auto& aRight) {
    return key(aLeft) < key(aRight);
  });
  const auto last = std::unique(
    aEntries.begin(), aEntries.end(), [&](auto& aLeft, auto& aRight) {
      return key(aLeft) == key(aRight);
    });
  aEntries.erase(last, aEntries.end());
}

std::vector<FetchTarget>
TargetsAt(const std::vector<std::string>& aUrls)
{
  std::vector<FetchTarget> targets;
  targets.reserve(aUrls.size());
  for (const std::string& url : aUrls) {
    targets.push_back({ url, WithoutSlash(url) });
  }
  return targets;
}

FetchedPages
FetchPagesFrom(const std::vector<FetchTarget>& aTargets,
               uint64_t aAfter,
               Millis aTimeout)
{
  const std::string path = "/v1/admin/events?after=" + std::to_string(aAfter);
  FetchedPages fetched;
  DecodeEach(aTargets,
             FetchEach(aTargets, path, aTimeout),
             DecodeEventPage,
             fetched.pages_,
             fetched.unreachable_);
  return fetched;
}

} // namespace

Fleet
FetchFleet(const FetchOptions& aOptions)
{
  Fleet fleet;
  FetchStatuses(TargetsAt(aOptions.entries_), aOptions.timeout_, fleet);
  // One more round is enough: every entry lists all other entries.
  FetchStatuses(UnqueriedEntries(fleet), aOptions.timeout_, fleet);
  SortAndDeduplicate(fleet.entries_);
  return fleet;
}

std::vector<SidecarReport>
SidecarsOf(const Fleet& aFleet)
{
  std::map<std::pair<std::string, uint64_t>, SidecarReport> views;
  for (const AdminStatus& status : aFleet.entries_) {
    for (const KnownSidecar& sidecar : status.sidecars_) {
      const ProcessIdentity& process = sidecar.process_;
      SidecarReport& view = views[{ process.name_, process.member_.value_ }];
      ++view.knownBy_;
      const ConfigVersion known = view.sidecar_.configVersion_;
      if (view.knownBy_ == 1 || sidecar.configVersion_.value_ > known.value_) {
        view.sidecar_ = sidecar;
      }
    }
  }
  std::vector<SidecarReport> sorted;
  sorted.reserve(views.size());
  for (auto& [key, view] : views) {
    sorted.push_back(std::move(view));
  }
  return sorted;
}

FetchedPages
FetchPages(const std::vector<std::string>& aUrls,
           uint64_t aAfter,
           Millis aTimeout)
{
  return FetchPagesFrom(TargetsAt(aUrls), aAfter, aTimeout);
}

FetchedPages
FetchAllPages(const FetchOptions& aOptions, uint64_t aAfter)
{
  Fleet fleet = FetchFleet(aOptions);
  std::vector<FetchTarget> targets;
  for (const AdminStatus& status : fleet.entries_) {
    targets.push_back({ status.process_.name_, UrlOf(status.http_) });
  }
  for (const SidecarReport& view : SidecarsOf(fleet)) {
    targets.push_back(
      { view.sidecar_.process_.name_, UrlOf(view.sidecar_.http_) });
  }
  FetchedPages fetched = FetchPagesFrom(targets, aAfter, aOptions.timeout_);
  fetched.unreachable_.insert(fetched.unreachable_.begin(),
                              fleet.unreachable_.begin(),
                              fleet.unreachable_.end());
  return fetched;
}

} // namespace cornelfront
