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
struct Source
{
  std::string process_;
  // Empty if the address is unknown.
  std::string url_;
};

// Response body, or the error if the request failed.
struct Fetched
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

Fetched
Fetch(HttpClient& aClient,
      const Source& aSource,
      const std::string& aPath,
      Millis aTimeout)
{
  if (aSource.url_.empty()) {
    return { "", "its HTTP address is not known" };
  }
  const HttpResult result = aClient.Perform({ .url_ = aSource.url_ + aPath,
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
// are in the order of aSources.
std::vector<Fetched>
FetchEach(const std::vector<Source>& aSources,
          const std::string& aPath,
          Millis aTimeout)
{
  std::vector<Fetched> answers(aSources.size());
  std::atomic<size_t> next{ 0 };
  const auto run = [&] {
    HttpClient client;
    for (size_t i = next++; i < aSources.size(); i = next++) {
      answers[i] = Fetch(client, aSources[i], aPath, aTimeout);
    }
  };
  std::vector<std::thread> threads;
  threads.reserve(kFetchThreads);
  for (size_t i = 0; i < std::min(kFetchThreads, aSources.size()); ++i) {
    threads.emplace_back(run);
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  return answers;
}

// Decodes the responses into aItems; adds each process that failed or sent an
// invalid response to aUnreached, with the reason.
template<class Item>
void
DecodeEach(const std::vector<Source>& aSources,
           const std::vector<Fetched>& aAnswers,
           Item (*aDecode)(const std::string&),
           std::vector<Item>& aItems,
           std::vector<Unreached>& aUnreached)
{
  for (size_t i = 0; i < aSources.size(); ++i) {
    if (!aAnswers[i].error_.empty()) {
      aUnreached.push_back({ aSources[i].process_, aAnswers[i].error_ });
      continue;
    }
    try {
      aItems.push_back(aDecode(aAnswers[i].body_));
    } catch (const std::runtime_error& error) {
      aUnreached.push_back({ aSources[i].process_, error.what() });
    }
  }
}

void
AskForStatus(const std::vector<Source>& aSources,
             Millis aTimeout,
             Fleet& aFleet)
{
  DecodeEach(aSources,
             FetchEach(aSources, "/v1/admin/status", aTimeout),
             DecodeAdminStatus,
             aFleet.entries_,
             aFleet.unreached_);
}

std::string
NameOf(const EntryAddress& aAddress)
{
  return "entry " + ToString(aAddress.id_) + " in " + aAddress.zone_;
}

// Entries listed by other entries that have not been queried yet.
std::vector<Source>
OtherEntries(const Fleet& aFleet)
{
  std::unordered_set<MemberId> asked;
  for (const AdminStatus& status : aFleet.entries_) {
    asked.insert(status.process_.member_);
  }
  std::vector<Source> others;
  for (const AdminStatus& status : aFleet.entries_) {
    for (const KnownEntry& known : status.entries_) {
      if (asked.insert(known.address_.id_).second) {
        others.push_back({ NameOf(known.address_), UrlOf(known.http_) });
      }
    }
  }
  return others;
}

void
SortAndUnite(std::vector<AdminStatus>& aEntries)
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

std::vector<Source>
SourcesAt(const std::vector<std::string>& aUrls)
{
  std::vector<Source> sources;
  sources.reserve(aUrls.size());
  for (const std::string& url : aUrls) {
    sources.push_back({ url, WithoutSlash(url) });
  }
  return sources;
}

FetchedPages
FetchPagesFrom(const std::vector<Source>& aSources,
               uint64_t aAfter,
               Millis aTimeout)
{
  const std::string path = "/v1/admin/events?after=" + std::to_string(aAfter);
  FetchedPages fetched;
  DecodeEach(aSources,
             FetchEach(aSources, path, aTimeout),
             DecodeEventPage,
             fetched.pages_,
             fetched.unreached_);
  return fetched;
}

} // namespace

Fleet
FetchFleet(const FetchOptions& aOptions)
{
  Fleet fleet;
  AskForStatus(SourcesAt(aOptions.entries_), aOptions.timeout_, fleet);
  // One more round is enough: every entry lists all other entries.
  AskForStatus(OtherEntries(fleet), aOptions.timeout_, fleet);
  SortAndUnite(fleet.entries_);
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
  return FetchPagesFrom(SourcesAt(aUrls), aAfter, aTimeout);
}

FetchedPages
FetchAllPages(const FetchOptions& aOptions, uint64_t aAfter)
{
  Fleet fleet = FetchFleet(aOptions);
  std::vector<Source> sources;
  for (const AdminStatus& status : fleet.entries_) {
    sources.push_back({ status.process_.name_, UrlOf(status.http_) });
  }
  for (const SidecarReport& view : SidecarsOf(fleet)) {
    sources.push_back(
      { view.sidecar_.process_.name_, UrlOf(view.sidecar_.http_) });
  }
  FetchedPages fetched = FetchPagesFrom(sources, aAfter, aOptions.timeout_);
  fetched.unreached_.insert(fetched.unreached_.begin(),
                            fleet.unreached_.begin(),
                            fleet.unreached_.end());
  return fetched;
}

} // namespace cornelfront
