#pragma once

/// \file
/// Chain of filters for requests. Each filter either refuses a request or adds
/// data to its context for the filters that follow.

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

/// A request and the data that filters have added to it.
struct RequestContext
{
  SubmissionRequest request_;
  SchemaSetPtr schemas_;
  /// Set by SchemaFilter.
  std::shared_ptr<const ServiceSchema> service_;
  /// Schema of each task's call; set by SchemaFilter.
  std::vector<std::shared_ptr<const CallSchema>> calls_;
  /// Set by DeadlineFilter.
  MonoTime startBy_;
};

/// Refuses new submissions while the process is draining.
struct DrainingFilter
{
  const std::atomic<bool>* draining_ = nullptr;

  std::optional<Refusal> operator()(RequestContext& aContext,
                                    MonoTime aNow) const;
};

/// Looks up the schemas of the service and of each call. Refuses unknown ones,
/// and requests without a submission id for a call that is not repeatable.
struct SchemaFilter
{
  std::optional<Refusal> operator()(RequestContext& aContext,
                                    MonoTime aNow) const;
};

/// Refuses bodies that exceed the size limit of their call.
struct BodySizeFilter
{
  std::optional<Refusal> operator()(RequestContext& aContext,
                                    MonoTime aNow) const;
};

/// Refuses teams that the service does not list, unless it lists none.
struct TeamFilter
{
  std::optional<Refusal> operator()(RequestContext& aContext,
                                    MonoTime aNow) const;
};

/// Sets the time by which all tasks must have started, from the smallest of the
/// calls' start limits and the caller's own limit.
struct DeadlineFilter
{
  std::optional<Refusal> operator()(RequestContext& aContext,
                                    MonoTime aNow) const;
};

/// Returns false if no announced worker is large enough for the call.
using FitCheck =
  std::function<bool(const std::string& aService, const CallSchema& aCall)>;

/// Refuses jobs that no announced worker is large enough to run.
struct FitFilter
{
  /// If empty, no size check is made.
  FitCheck checkFit_;

  std::optional<Refusal> operator()(RequestContext& aContext,
                                    MonoTime aNow) const;
};

/// Consumes \p aTasks task starts from the team's quota and returns nullopt, or
/// returns the time until the quota allows them.
using QuotaCheck =
  std::function<std::optional<Millis>(const ServiceSchema& aService,
                                      const std::string& aTeam,
                                      size_t aTasks,
                                      MonoTime aNow)>;

/// Refuses requests that exceed their team's quota.
struct QuotaFilter
{
  /// If empty, no quota applies.
  QuotaCheck takeQuota_;

  std::optional<Refusal> operator()(RequestContext& aContext,
                                    MonoTime aNow) const;
};

/// Refuses requests whose predicted wait is too close to their start limit.
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

/// Filters in order of evaluation.
using FilterChain = std::vector<Filter>;

/// Applies the filters in order and returns the first refusal, if any.
std::optional<Refusal>
ApplyFilters(const FilterChain& aChain,
             RequestContext& aContext,
             MonoTime aNow);

} // namespace cornelfront
