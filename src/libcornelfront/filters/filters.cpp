#include "cornelfront/filters.h"

#include "cornelfront/admission.h"

#include <algorithm>

namespace cornelfront {

namespace {

/// Suggested delay before a retry while an entry is draining.
constexpr Millis kDrainingRetryAfter{ 1000 };

/// Path of the member \p aMember of task \p aIndex in the caller's request.
std::string
TaskField(const SubmissionRequest& aRequest,
          size_t aIndex,
          const std::string& aMember)
{
  if (!aRequest.isJob_) {
    return aMember;
  }
  return "tasks[" + std::to_string(aIndex) + "]." + aMember;
}

} // namespace

std::optional<Refusal>
DrainingFilter::operator()(RequestContext&, MonoTime) const
{
  if (!draining_->load()) {
    return std::nullopt;
  }
  return Refusal{ .reason_ = RefusalReason::Draining,
                  .bound_ = "this entry is about to stop",
                  .retryAfter_ = kDrainingRetryAfter };
}

std::optional<Refusal>
SchemaFilter::operator()(RequestContext& aContext, MonoTime) const
{
  const SubmissionRequest& request = aContext.request_;
  const auto service = aContext.schemas_->services_.find(request.service_);
  if (service == aContext.schemas_->services_.end()) {
    return Refusal{ .reason_ = RefusalReason::UnknownService,
                    .field_ = "service",
                    .value_ = request.service_,
                    .bound_ = "is not in force" };
  }
  aContext.service_ = service->second;
  aContext.calls_.reserve(request.tasks_.size());
  for (size_t i = 0; i < request.tasks_.size(); ++i) {
    const std::string& name = request.tasks_[i].call_;
    const auto call = aContext.service_->calls_.find(name);
    if (call == aContext.service_->calls_.end()) {
      return Refusal{ .reason_ = RefusalReason::UnknownCall,
                      .field_ = TaskField(request, i, "call"),
                      .value_ = name,
                      .bound_ = "is not a call of " + request.service_ };
    }
    aContext.calls_.emplace_back(aContext.service_, &call->second);
  }
  if (!request.id_ && !aContext.calls_.front()->repeatable_) {
    return Refusal{ .reason_ = RefusalReason::KeyPrefixRequired,
                    .field_ = "idempotency-key",
                    .bound_ = "is required for a call that is not repeatable" };
  }
  return std::nullopt;
}

std::optional<Refusal>
BodySizeFilter::operator()(RequestContext& aContext, MonoTime) const
{
  const SubmissionRequest& request = aContext.request_;
  for (size_t i = 0; i < request.tasks_.size(); ++i) {
    const size_t size = request.tasks_[i].body_.size();
    const uint64_t limit = aContext.calls_[i]->maxBodyBytes_;
    if (size > limit) {
      return Refusal{ .reason_ = RefusalReason::BodyTooLarge,
                      .field_ = TaskField(request, i, "body"),
                      .value_ = std::to_string(size) + " bytes",
                      .bound_ = "must have at most " + std::to_string(limit) +
                                " bytes" };
    }
  }
  return std::nullopt;
}

std::optional<Refusal>
TeamFilter::operator()(RequestContext& aContext, MonoTime) const
{
  const auto& teams = aContext.service_->teams_;
  if (teams.empty() || teams.count(aContext.request_.team_) > 0) {
    return std::nullopt;
  }
  return Refusal{ .reason_ = RefusalReason::InvalidField,
                  .field_ =
                    aContext.request_.isJob_ ? "team" : "cornelfront-team",
                  .value_ = aContext.request_.team_,
                  .bound_ = "must be a team of " + aContext.request_.service_ };
}

std::optional<Refusal>
DeadlineFilter::operator()(RequestContext& aContext, MonoTime aNow) const
{
  Millis limit = aContext.calls_.front()->startWithin_;
  for (const auto& call : aContext.calls_) {
    limit = std::min(limit, call->startWithin_);
  }
  if (aContext.request_.startWithin_) {
    limit = std::min(limit, *aContext.request_.startWithin_);
  }
  aContext.startBy_ = aNow + limit;
  return std::nullopt;
}

std::optional<Refusal>
FitFilter::operator()(RequestContext& aContext, MonoTime) const
{
  if (!checkFit_) {
    return std::nullopt;
  }
  const SubmissionRequest& request = aContext.request_;
  for (size_t i = 0; i < aContext.calls_.size(); ++i) {
    // Most jobs use one call for all tasks, so consecutive equal calls are
    // checked once.
    if (i > 0 && aContext.calls_[i] == aContext.calls_[i - 1]) {
      continue;
    }
    if (!checkFit_(request.service_, *aContext.calls_[i])) {
      return Refusal{ .reason_ = RefusalReason::CanNeverRun,
                      .field_ = TaskField(request, i, "call"),
                      .value_ = request.tasks_[i].call_,
                      .bound_ = "declares more than any announced worker has" };
    }
  }
  return std::nullopt;
}

std::optional<Refusal>
QuotaFilter::operator()(RequestContext& aContext, MonoTime aNow) const
{
  if (!takeQuota_) {
    return std::nullopt;
  }
  const SubmissionRequest& request = aContext.request_;
  const auto wait =
    takeQuota_(*aContext.service_, request.team_, request.tasks_.size(), aNow);
  if (!wait) {
    return std::nullopt;
  }
  return Refusal{ .reason_ = RefusalReason::QuotaExceeded,
                  .field_ = "team",
                  .value_ = request.team_,
                  .bound_ = "has used up its starts per second",
                  .retryAfter_ = *wait };
}

std::optional<Refusal>
AdmissionFilter::operator()(RequestContext& aContext, MonoTime aNow) const
{
  // A job has the priority of its least urgent task, which starts last.
  Priority priority = Priority::Urgent;
  for (const auto& call : aContext.calls_) {
    priority = std::max(priority, call->priority_);
  }
  const Millis wait = runner_->PredictedWait(
    aContext.request_.service_, priority, aContext.calls_.size(), aNow);
  const auto limit =
    std::chrono::duration_cast<Millis>(aContext.startBy_ - aNow);
  const auto retryAfter = CheckAdmission({}, priority, wait, limit);
  if (!retryAfter) {
    return std::nullopt;
  }
  return Refusal{ .reason_ = RefusalReason::Overloaded,
                  .field_ = "service",
                  .value_ = aContext.request_.service_,
                  .bound_ = "predicted wait of " +
                            std::to_string(wait.count()) +
                            " ms is too near to the start limit of " +
                            std::to_string(limit.count()) + " ms",
                  .retryAfter_ = *retryAfter };
}

std::optional<Refusal>
ApplyFilters(const FilterChain& aChain, RequestContext& aContext, MonoTime aNow)
{
  for (const Filter& filter : aChain) {
    auto refusal = std::visit(
      [&](const auto& aFilter) { return aFilter(aContext, aNow); }, filter);
    if (refusal) {
      return refusal;
    }
  }
  return std::nullopt;
}

} // namespace cornelfront
