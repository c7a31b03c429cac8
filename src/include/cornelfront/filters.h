#pragma once

/// \file
/// The filter chain: each filter reads state and either refuses one request or
/// completes its context for the next.

#include "cornelfront/caller_request.h"
#include "cornelfront/dispatcher.h"
#include "cornelfront/refusal.h"
#include "cornelfront/schema_set.h"

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace cornelfront {

/// One request on its way through the chain.
struct RequestContext
{
  SubmissionRequest request_;
  SchemaSetPtr schemas_;
  /// Set by SchemaFilter.
  std::shared_ptr<const ServiceSchema> service_;
  /// The call of each task; set by SchemaFilter.
  std::vector<std::shared_ptr<const CallSchema>> calls_;
  /// Set by DeadlineFilter.
  MonoTime startBy_;
};

/// Refuses what begins while the process is about to stop.
struct DrainingFilter
{
  const std::atomic<bool>* draining_ = nullptr;

  std::optional<Refusal> operator()(RequestContext& aContext,
                                    MonoTime aNow) const;
};

/// Finds the schemas of the service and of each call, and refuses a request
/// without id for a call that is not repeatable.
struct SchemaFilter
{
  std::optional<Refusal> operator()(RequestContext& aContext,
                                    MonoTime aNow) const;
};

/// Refuses bodies larger than their call allows.
struct BodySizeFilter
{
  std::optional<Refusal> operator()(RequestContext& aContext,
                                    MonoTime aNow) const;
};

/// Refuses teams that the service does not know, if it names any.
struct TeamFilter
{
  std::optional<Refusal> operator()(RequestContext& aContext,
                                    MonoTime aNow) const;
};

/// Sets the time by which all tasks must have started: the least of the
/// calls' limits and the caller's own.
struct DeadlineFilter
{
  std::optional<Refusal> operator()(RequestContext& aContext,
                                    MonoTime aNow) const;
};

/// Returns false if no announced worker is large enough for the call.
using FitCheck =
  std::function<bool(const std::string& aService, const CallSchema& aCall)>;

/// Refuses jobs that can never run.
struct FitFilter
{
  /// Empty if every size fits.
  FitCheck fits_;

  std::optional<Refusal> operator()(RequestContext& aContext,
                                    MonoTime aNow) const;
};

/// Takes the starts of \p aTasks tasks from the team's quota, or returns how
/// long to wait until there are enough.
using QuotaCheck =
  std::function<std::optional<Millis>(const ServiceSchema& aService,
                                      const std::string& aTeam,
                                      size_t aTasks,
                                      MonoTime aNow)>;

/// Refuses what exceeds its team's quota.
struct QuotaFilter
{
  /// Empty if there are no quotas.
  QuotaCheck take_;

  std::optional<Refusal> operator()(RequestContext& aContext,
                                    MonoTime aNow) const;
};

/// Refuses what would wait past its start limit.
struct AdmissionFilter
{
  const JobRunner* runner_ = nullptr;

  std::optional<Refusal> operator()(RequestContext& aContext,
                                    MonoTime aNow) const;
};

using Filter = std::variant<DrainingFilter,
                            SchemaFilter,
                            BodySizeFilter,
                            TeamFilter,
                            DeadlineFilter,
                            FitFilter,
                            AdmissionFilter,
                            QuotaFilter>;

/// Filters in the order in which they are asked.
using FilterChain = std::vector<Filter>;

/// Asks each filter in turn; returns the first refusal.
std::optional<Refusal>
ApplyFilters(const FilterChain& aChain,
             RequestContext& aContext,
             MonoTime aNow);

} // namespace cornelfront
