/// \file
/// JobEntry: requests of clients and of the load balancer.

#include "job_entry_pvt.h"

#include "cornelfront/visitor.h"

#include <glog/logging.h>

namespace cornelfront {
namespace {

constexpr Millis kStoreRetry{ 1000 };
constexpr Millis kStartRetry{ 1000 };
/// Requests that may have waited for longer are logged.
constexpr Millis kNotableWait{ 75 };

} // namespace

void
JobEntry::Impl::HandleReadiness(const HttpRequest&, const HttpReply& aReply)
{
  aReply.Send({ .status_ = Ready(BootNow()) ? 200 : 503, .body_ = "{}" });
}

void
JobEntry::Impl::HandleClient(const HttpRequest& aRequest,
                             const HttpReply& aReply)
{
  const MonoTime now = BootNow();
  CheckClients(now);
  const Millis configAge = operatorReader_->Age(now);
  const platform::JobCall call =
    platform::ParseJobCall(aRequest, operator_, configAge);
  std::visit(Visitor{ [&](const platform::JobSubmission& aSubmission) {
                       Submit(aSubmission, aReply, now);
                     },
                      [&](const platform::JobQuery& aQuestion) {
                        ReplyState(aQuestion.job_, aReply, now);
                      },
                      [&](const platform::JobCancellation& aCancellation) {
                        Cancel(aCancellation.job_, aReply, now);
                      },
                      [&](const platform::QueueLengthQuery& aQuestion) {
                        ReplyPending(aQuestion.queue_, aReply, now);
                      },
                      [&](const HttpResponse& aResponse) {
                        LOG(INFO) << "request method=" << aRequest.method_
                                  << " path=" << aRequest.path_
                                  << " status=" << aResponse.status_
                                  << " version=" << operator_.version_
                                  << " config_age_ms=" << configAge.count();
                        Reply(aReply, aResponse);
                      } },
             call);
  PerformActions(now);
}

void
JobEntry::Impl::Submit(const platform::JobSubmission& aSubmission,
                       const HttpReply& aReply,
                       MonoTime aNow)
{
  const std::string& id = aSubmission.job_.id_;
  if (!aSubmission.job_.bestEffort_) {
    SubmitStored(aSubmission, aReply);
    return;
  }
  const auto waited =
    std::chrono::ceil<Millis>(aNow - aSubmission.arrivedAfter_);
  metrics_.RecordRequestWait(waited);
  if (waited > kNotableWait) {
    LOG(INFO) << "job=" << id << " waited_ms=" << waited.count()
              << " outcome=read_late";
  }
  if (closed_) {
    LOG(INFO) << "job=" << id << " outcome=refused reason=stopping";
    Reply(
      aReply,
      platform::RefusedResponse("this process is stopping", kBalancerDelay));
    return;
  }
  if (!KnowsStoredLateOrders(aNow)) {
    LOG(INFO) << "job=" << id << " outcome=refused reason=starting";
    Reply(aReply,
          platform::RefusedResponse("this process is starting", kStartRetry));
    return;
  }
  if (aReply.HasClientLeft()) {
    // The request may have waited here for seconds, and the client may have
    // submitted the job elsewhere since.
    LOG(INFO) << "job=" << id << " outcome=refused reason=client_left";
    Reply(aReply,
          platform::RefusedResponse("the client has left", kBalancerDelay));
    return;
  }
  const JobSubmissionId submissionId = nextSubmissionId_++;
  pendingReplies_.emplace(submissionId, PendingReply{ aReply, id, aNow });
  scheduler_.Submit(submissionId,
                    aSubmission.job_,
                    aSubmission.queue_,
                    aSubmission.arrivedAfter_ + aSubmission.clientTimeout_,
                    aNow,
                    waited);
  aReply.OnClientDisconnect(
    [this, submissionId] { OnClientLeft(submissionId, BootNow()); });
}

void
JobEntry::Impl::OnClientLeft(JobSubmissionId aSubmissionId, MonoTime aNow)
{
  const auto pending = pendingReplies_.find(aSubmissionId);
  if (pending == pendingReplies_.end()) {
    return;
  }
  const auto time =
    std::chrono::duration_cast<Millis>(aNow - pending->second.submitted_);
  LOG(INFO) << "job=" << pending->second.job_ << " outcome=client_left"
            << " ms=" << time.count();
  scheduler_.OnClientDisconnected(aSubmissionId, aNow);
  PerformActions(aNow);
  const auto again = pendingReplies_.find(aSubmissionId);
  if (again != pendingReplies_.end()) {
    const HttpReply reply = again->second.reply_;
    pendingReplies_.erase(again);
    reply.Send(platform::GivenUpResponse("the client has left"));
  }
}

void
JobEntry::Impl::CheckClients(MonoTime aNow)
{
  if (standstill_.OnCall(aNow) <= Standstill::kLongestPause) {
    return;
  }
  std::vector<JobSubmissionId> left;
  for (const auto& [id, pending] : pendingReplies_) {
    if (pending.reply_.HasClientLeft()) {
      left.push_back(id);
    }
  }
  for (const JobSubmissionId id : left) {
    OnClientLeft(id, aNow);
  }
}

void
JobEntry::Impl::SubmitStored(const platform::JobSubmission& aSubmission,
                             const HttpReply& aReply)
{
  const std::string id = aSubmission.job_.id_;
  stored_->Accept(aSubmission.job_,
                  { aSubmission.queue_, operator_.version_ },
                  [this, id, aReply](platform::StoreOutcome aOutcome) {
                    LOG(INFO) << "job=" << id << " outcome="
                              << (aOutcome == platform::StoreOutcome::Ok
                                    ? "accepted"
                                    : "not_stored");
                    Reply(aReply, platform::StoredResponse(aOutcome));
                  });
}

void
JobEntry::Impl::ReplyState(const std::string& aJob,
                           const HttpReply& aReply,
                           MonoTime aNow)
{
  const auto state = stored_->State(aJob);
  if (state) {
    Reply(aReply, platform::StateResponse(*state));
    return;
  }
  const bool fresh = stored_->IsFresh(aNow);
  LOG(INFO) << "job=" << aJob
            << " outcome=" << (fresh ? "unknown" : "not_readable");
  Reply(aReply,
        fresh
          ? platform::UnknownJobResponse()
          : platform::RefusedResponse("the store can't be read", kStoreRetry));
}

void
JobEntry::Impl::ReplyPending(const std::string& aQueue,
                             const HttpReply& aReply,
                             MonoTime aNow)
{
  if (!stored_->IsFresh(aNow)) {
    // The jobs read so far may be incomplete.
    Reply(aReply,
          platform::RefusedResponse("the store can't be read", kStoreRetry));
    return;
  }
  Reply(aReply,
        platform::PendingResponse(scheduler_.Pending(aQueue) +
                                  stored_->Pending(aQueue)));
}

void
JobEntry::Impl::Cancel(const std::string& aJob,
                       const HttpReply& aReply,
                       MonoTime aNow)
{
  const auto state = stored_->State(aJob);
  if (!state && scheduler_.Cancel(aJob, aNow)) {
    LOG(INFO) << "job=" << aJob << " outcome=cancelled";
    Reply(aReply, platform::CancelledResponse());
    return;
  }
  if (!IsJobId(aJob)) {
    Reply(aReply, platform::UnknownJobResponse());
    return;
  }
  // Also written for a job that is unknown here, which another entry may have
  // accepted just now.
  stored_->Cancel(aJob, [this, aJob, aReply](platform::StoreOutcome aOutcome) {
    LOG(INFO) << "job=" << aJob << " outcome="
              << (aOutcome == platform::StoreOutcome::Ok ? "cancel_stored"
                                                         : "not_stored");
    Reply(aReply, platform::StoredResponse(aOutcome));
  });
}

void
JobEntry::Impl::Reply(const HttpReply& aReply, HttpResponse aResponse) const
{
  if (stopping_) {
    aResponse.headers_.emplace_back("Connection", "close");
  }
  aReply.Send(std::move(aResponse));
}

void
JobEntry::Impl::Answer(const AnswerJob& aAnswer, MonoTime aNow)
{
  const auto found = pendingReplies_.find(aAnswer.submissionId_);
  if (found == pendingReplies_.end()) {
    return;
  }
  const PendingReply pending = found->second;
  pendingReplies_.erase(found);
  const auto time =
    std::chrono::duration_cast<Millis>(aNow - pending.submitted_);
  metrics_.CountJob(aAnswer.outcome_, time);
  LOG(INFO) << "job=" << pending.job_
            << " outcome=" << ToString(aAnswer.outcome_)
            << " ms=" << time.count() << " reason=\"" << aAnswer.reason_
            << "\"";
  Reply(pending.reply_, platform::OutcomeResponse(aAnswer));
}

} // namespace cornelfront
