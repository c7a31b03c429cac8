/// \file
/// JobEntry: requests of clients and of the load balancer.

#include "job_entry_pvt.h"

#include "cornelfront/visitor.h"

#include <glog/logging.h>

namespace cornelfront {
namespace {

constexpr Millis kStoreRetry{ 1000 };

} // namespace

void
JobEntry::Impl::HandleReadiness(const HttpRequest&, const HttpReply& aReply)
{
  aReply.Send({ .status_ = Ready() ? 200 : 503, .body_ = "{}" });
}

void
JobEntry::Impl::HandleClient(const HttpRequest& aRequest,
                             const HttpReply& aReply)
{
  const MonoTime now = BootNow();
  const platform::JobCall call = platform::ParseJobCall(aRequest, operator_);
  std::visit(Visitor{ [&](const platform::JobSubmission& aSubmission) {
                       Submit(aSubmission, aReply, now);
                     },
                      [&](const platform::JobQuestion& aQuestion) {
                        ShowState(aQuestion.job_, aReply, now);
                      },
                      [&](const platform::JobCancellation& aCancellation) {
                        Cancel(aCancellation.job_, aReply, now);
                      },
                      [&](const platform::QueueQuestion& aQuestion) {
                        ShowPending(aQuestion.queue_, aReply, now);
                      },
                      [&](const HttpResponse& aResponse) {
                        LOG(INFO) << "request method=" << aRequest.method_
                                  << " path=" << aRequest.path_
                                  << " status=" << aResponse.status_
                                  << " version=" << operator_.version_;
                        Reply(aReply, aResponse);
                      } },
             call);
  Perform(now);
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
  if (closed_) {
    LOG(INFO) << "job=" << id << " outcome=refused reason=stopping";
    Reply(
      aReply,
      platform::RefusedResponse("this process is stopping", kBalancerNotice));
    return;
  }
  const JobTicket ticket = nextTicket_++;
  waiting_.emplace(ticket, Waiting{ aReply, id, aNow });
  engine_.Submit(ticket,
                 aSubmission.job_,
                 aSubmission.queue_,
                 aNow + aSubmission.clientWait_,
                 aNow);
  aReply.WhenClientLeaves([this, ticket] {
    const MonoTime now = BootNow();
    const auto waiting = waiting_.find(ticket);
    if (waiting != waiting_.end()) {
      LOG(INFO) << "job=" << waiting->second.job_ << " outcome=client_left"
                << " ms="
                << std::chrono::duration_cast<Millis>(
                     now - waiting->second.submitted_)
                     .count();
      engine_.Abandon(ticket, now);
      Perform(now);
      const auto again = waiting_.find(ticket);
      if (again != waiting_.end()) {
        const HttpReply reply = again->second.reply_;
        waiting_.erase(again);
        reply.Send(platform::GivenUpResponse("the client has left"));
      }
    }
  });
}

void
JobEntry::Impl::SubmitStored(const platform::JobSubmission& aSubmission,
                             const HttpReply& aReply)
{
  const std::string id = aSubmission.job_.id_;
  stored_->Accept(aSubmission.job_,
                  aSubmission.queue_.name_,
                  [this, id, aReply](platform::StoreOutcome aOutcome) {
                    LOG(INFO) << "job=" << id << " outcome="
                              << (aOutcome == platform::StoreOutcome::Ok
                                    ? "accepted"
                                    : "not_stored");
                    Reply(aReply, platform::StoredResponse(aOutcome));
                  });
}

void
JobEntry::Impl::ShowState(const std::string& aJob,
                          const HttpReply& aReply,
                          MonoTime aNow)
{
  const auto state = stored_->State(aJob);
  if (state) {
    Reply(aReply, platform::StateResponse(*state));
    return;
  }
  const bool fresh = stored_->Fresh(aNow);
  LOG(INFO) << "job=" << aJob
            << " outcome=" << (fresh ? "unknown" : "not_readable");
  Reply(aReply,
        fresh
          ? platform::UnknownJobResponse()
          : platform::RefusedResponse("the store can't be read", kStoreRetry));
}

void
JobEntry::Impl::ShowPending(const std::string& aQueue,
                            const HttpReply& aReply,
                            MonoTime aNow)
{
  if (!stored_->Fresh(aNow)) {
    // The jobs read so far may be incomplete.
    Reply(aReply,
          platform::RefusedResponse("the store can't be read", kStoreRetry));
    return;
  }
  Reply(aReply,
        platform::PendingResponse(engine_.Pending(aQueue) +
                                  stored_->Pending(aQueue)));
}

void
JobEntry::Impl::Cancel(const std::string& aJob,
                       const HttpReply& aReply,
                       MonoTime aNow)
{
  const auto state = stored_->State(aJob);
  if (!state && engine_.Cancel(aJob, aNow)) {
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
  const auto found = waiting_.find(aAnswer.ticket_);
  if (found == waiting_.end()) {
    return;
  }
  const Waiting waiting = found->second;
  waiting_.erase(found);
  const auto time =
    std::chrono::duration_cast<Millis>(aNow - waiting.submitted_);
  metrics_.CountJob(aAnswer.outcome_, time);
  LOG(INFO) << "job=" << waiting.job_
            << " outcome=" << ToString(aAnswer.outcome_)
            << " ms=" << time.count() << " reason=\"" << aAnswer.reason_
            << "\"";
  Reply(waiting.reply_, platform::OutcomeResponse(aAnswer));
}

} // namespace cornelfront
