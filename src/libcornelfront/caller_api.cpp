#include "cornelfront/caller_api.h"

#include "caller_answer_pvt.h"

#include "cornelfront/visitor.h"

#include <nlohmann/json.hpp>

#include <stdexcept>
#include <utility>

namespace cornelfront {

namespace {

constexpr Millis kTableFullRetryAfter{ 1000 };

/// Answer format for a request that contains a call or a job.
AnswerFormat
AnswerFormatFor(const HttpRequest& aHttp, const SubmissionRequest& aRequest)
{
  const bool raw = aHttp.Header("accept") == "application/octet-stream";
  return { .submission_ = aRequest.id_ ? ToString(*aRequest.id_) : "",
           .resultList_ = aRequest.isJob_,
           .singleResult_ = !aRequest.isJob_,
           .rawBody_ = raw && !aRequest.isJob_ };
}

/// Answer format for requests that contain only a submission id. Whether the
/// submission was a call or a job is not stored, so both forms are returned.
AnswerFormat
AnswerFormatFor(const HttpRequest& aHttp, const SubmissionId& aId)
{
  return { .submission_ = ToString(aId),
           .resultList_ = true,
           .singleResult_ = true,
           .rawBody_ = aHttp.Header("accept") == "application/octet-stream" };
}

Waiter
MakeWaiter(const ResponseCallback& aRespond, const AnswerFormat& aFormat)
{
  return [aRespond, aFormat](const FinalAnswerPtr& aAnswer) {
    aRespond(FinalResponse(*aAnswer, aFormat));
  };
}

JobSpec
MakeJobSpec(RequestContext aContext, std::string aSubmission)
{
  SubmissionRequest& request = aContext.request_;
  JobSpec job{ .submission_ = std::move(aSubmission),
               .service_ = std::move(request.service_),
               .team_ = std::move(request.team_),
               .mayRepeat_ =
                 !request.isJob_ && aContext.calls_.front()->repeatable_,
               .startBy_ = aContext.startBy_ };
  job.tasks_.reserve(request.tasks_.size());
  for (size_t i = 0; i < request.tasks_.size(); ++i) {
    job.tasks_.push_back({ .call_ = std::move(aContext.calls_[i]),
                           .body_ = std::move(request.tasks_[i].body_) });
  }
  return job;
}

bool
IsResubmission(const BeginResult& aResult)
{
  return std::holds_alternative<StillRunning>(aResult) ||
         std::holds_alternative<Answered>(aResult) ||
         std::holds_alternative<AnswerDropped>(aResult);
}

Refusal
UnknownPrefixRefusal(const SubmissionId& aId)
{
  return { .reason_ = RefusalReason::KeyPrefixRequired,
           .field_ = "submission",
           .value_ = ToString(aId),
           .bound_ = "its prefix was never issued" };
}

Refusal
IdReuseRefusal(const SubmissionId& aId)
{
  return { .reason_ = RefusalReason::SubmissionMismatch,
           .field_ = "submission",
           .value_ = ToString(aId),
           .bound_ = "belongs to a request with another service, team, call "
                     "or body" };
}

Refusal
TableFullRefusal()
{
  return { .reason_ = RefusalReason::TableFull,
           .bound_ = "too many submissions are remembered",
           .retryAfter_ = kTableFullRetryAfter };
}

/// Sets a header, replacing any value that the owner of the submission set.
void
SetHeader(HttpResponse& aResponse,
          const std::string& aName,
          const std::string& aValue)
{
  std::erase_if(aResponse.headers_,
                [&](const auto& aHeader) { return aHeader.first == aName; });
  aResponse.headers_.emplace_back(aName, aValue);
}

} // namespace

CallerApi::CallerApi(CallerApiOptions aOptions,
                     JobRunner& aRunner,
                     ShardedSubmissionTable& aSubmissions,
                     Forwarder& aForwarder,
                     SchemaSource aSchemas)
  : options_(std::move(aOptions))
  , runner_(aRunner)
  , submissions_(aSubmissions)
  , forwarder_(aForwarder)
  , schemas_(std::move(aSchemas))
{
  const SubmissionTableOptions& table = submissions_.Options();
  if (table.start_ != options_.start_ ||
      table.prefixLifetime_ != options_.prefixLifetime_) {
    throw std::invalid_argument("the table of submissions judges prefixes by "
                                "another start or lifetime");
  }
  // The quota comes last so that requests refused by another filter don't
  // consume it.
  filters_ = { DrainingFilter{ &draining_ },
               SchemaFilter{},
               BodySizeFilter{},
               TeamFilter{},
               DeadlineFilter{},
               FitFilter{ options_.checkFit_ },
               AdmissionFilter{ &runner_ },
               QuotaFilter{ options_.takeQuota_ } };
}

void
CallerApi::Handle(HttpRequest aRequest, HttpReply aReply, MonoTime aNow)
{
  const auto respond = [aReply](HttpResponse aResponse) {
    aReply.Send(std::move(aResponse));
  };
  Handle(std::move(aRequest), ResponseCallback(respond), aNow);
}

void
CallerApi::Handle(HttpRequest aRequest,
                  ResponseCallback aRespond,
                  MonoTime aNow)
{
  const Exchange exchange{ .request_ = std::move(aRequest),
                           .respond_ = WithKeyPrefix(std::move(aRespond), aNow),
                           .now_ = aNow };
  try {
    Route(exchange);
  } catch (const RequestError& error) {
    Refuse(exchange, error.Reason(), "");
  }
}

void
CallerApi::StartDraining()
{
  draining_ = true;
}

void
CallerApi::Route(const Exchange& aExchange)
{
  const HttpRequest& request = aExchange.request_;
  const CallerRoute route = ParseRoute(request.method_, request.path_);
  const Visitor visitor{
    [&](const KeyPrefixRoute&) { IssueKeyPrefix(aExchange); },
    [&](const CallRoute& aRoute) {
      Submit(aExchange, ParseCall(request, aRoute));
    },
    [&](const JobRoute& aRoute) {
      Submit(aExchange, ParseJob(request, aRoute));
    },
    [&](const LookUpRoute& aRoute) { LookUp(aExchange, aRoute.id_); },
    [&](const CancelRoute& aRoute) { Cancel(aExchange, aRoute.id_); },
    [&](const WrongMethod& aRoute) {
      HttpResponse response =
        RefusalResponse({ .reason_ = RefusalReason::MethodNotAllowed,
                          .field_ = "method",
                          .value_ = request.method_,
                          .bound_ = "must be " + aRoute.allowed_ },
                        "");
      response.headers_.emplace_back("Allow", aRoute.allowed_);
      aExchange.respond_(std::move(response));
    },
    [&](const UnknownRoute&) {
      throw RequestError({ .reason_ = RefusalReason::UnknownPath,
                           .field_ = "path",
                           .value_ = request.path_,
                           .bound_ = "does not exist" });
    },
  };
  std::visit(visitor, route);
}

void
CallerApi::IssueKeyPrefix(const Exchange& aExchange)
{
  const KeyPrefix prefix =
    IssuePrefix(options_.self_, options_.start_, aExchange.now_);
  const nlohmann::json body = { { "prefix", ToString(prefix) },
                                { "lifetime_ms",
                                  options_.prefixLifetime_.count() } };
  aExchange.respond_({ .body_ = body.dump() + "\n" });
}

void
CallerApi::Refuse(const Exchange& aExchange,
                  const Refusal& aRefusal,
                  const std::string& aSubmission)
{
  Record(EventId::RequestRefused,
         { { "reason", std::string(ToString(aRefusal.reason_)) } });
  aExchange.respond_(RefusalResponse(aRefusal, aSubmission));
}

void
CallerApi::Submit(const Exchange& aExchange, SubmissionRequest aRequest)
{
  if (!aRequest.id_) {
    SubmitWithoutId(aExchange, std::move(aRequest));
    return;
  }
  if (!ForwardIfNotOwner(aExchange, *aRequest.id_)) {
    BeginSubmission(aExchange, std::move(aRequest));
  }
}

void
CallerApi::SubmitWithoutId(const Exchange& aExchange,
                           SubmissionRequest aRequest)
{
  const AnswerFormat format = AnswerFormatFor(aExchange.request_, aRequest);
  RequestContext context{ .request_ = std::move(aRequest),
                          .schemas_ = schemas_() };
  if (const auto refusal = ApplyFilters(filters_, context, aExchange.now_)) {
    Refuse(aExchange, *refusal, "");
    return;
  }
  // '~' is not allowed in the suffix of a caller's id, so the ids can't
  // collide.
  const std::string submission =
    ToString(IssuePrefix(options_.self_, options_.start_, aExchange.now_)) +
    ".~" + std::to_string(nextUnnamedId_++);
  SubmitJob(aExchange,
            MakeJobSpec(std::move(context), submission),
            [respond = aExchange.respond_, format](JobResult aResult) {
              respond(FinalResponse(FinalAnswer(std::move(aResult)), format));
            });
}

void
CallerApi::BeginSubmission(const Exchange& aExchange,
                           SubmissionRequest aRequest)
{
  const SubmissionId id = *aRequest.id_;
  const std::string idText = ToString(id);
  const AnswerFormat format = AnswerFormatFor(aExchange.request_, aRequest);
  const ResponseCallback& respond = aExchange.respond_;
  const Waiter waiter = aRequest.wait_ ? MakeWaiter(respond, format) : Waiter();
  const BeginResult result =
    submissions_.Begin(id, RequestDigest(aRequest), waiter, aExchange.now_);
  const Visitor visitor{
    [&](NewAttempt aAttempt) {
      RunAttempt(aExchange, std::move(aRequest), aAttempt);
    },
    [&](StillRunning aRunning) {
      if (!aRunning.attached_) {
        respond(RunningResponse(idText));
      }
    },
    [&](const Answered& aAnswered) {
      respond(FinalResponse(*aAnswered.answer_, format));
    },
    [&](AnswerDropped) { respond(AnswerDroppedResponse(idText)); },
    [&](ExpiredUnknown) { respond(ExpiredResponse(idText)); },
    [&](NeverIssued) { Refuse(aExchange, UnknownPrefixRefusal(id), idText); },
    [&](DigestMismatch) { Refuse(aExchange, IdReuseRefusal(id), idText); },
    [&](TableIsFull) { Refuse(aExchange, TableFullRefusal(), idText); },
  };
  if (IsResubmission(result)) {
    Record(EventId::SubmissionRepeated, { { "submission", idText } });
  }
  std::visit(visitor, result);
}

void
CallerApi::RunAttempt(const Exchange& aExchange,
                      SubmissionRequest aRequest,
                      NewAttempt aAttempt)
{
  const SubmissionId id = *aRequest.id_;
  const std::string idText = ToString(id);
  const bool wait = aRequest.wait_;
  RequestContext context{ .request_ = std::move(aRequest),
                          .schemas_ = schemas_() };
  if (const auto refusal = ApplyFilters(filters_, context, aExchange.now_)) {
    Record(EventId::RequestRefused,
           { { "reason", std::string(ToString(refusal->reason_)) } });
    submissions_.Finish(id, aAttempt.number_, *refusal);
    if (!wait) {
      aExchange.respond_(RefusalResponse(*refusal, idText));
    }
    return;
  }
  if (!wait) {
    aExchange.respond_(RunningResponse(idText));
  }
  SubmitJob(aExchange,
            MakeJobSpec(std::move(context), idText),
            [this, id, aAttempt](JobResult aResult) {
              submissions_.Finish(id, aAttempt.number_, std::move(aResult));
            });
  // A cancellation that arrived before Submit() found no job to cancel.
  if (submissions_.CancelRequested(id)) {
    runner_.Cancel(idText, aExchange.now_);
  }
}

void
CallerApi::LookUp(const Exchange& aExchange, const SubmissionId& aId)
{
  if (ForwardIfNotOwner(aExchange, aId)) {
    return;
  }
  const std::string idText = ToString(aId);
  const ResponseCallback& respond = aExchange.respond_;
  const Visitor visitor{
    [&](StillRunning) { respond(RunningResponse(idText)); },
    [&](const Answered& aAnswered) {
      const AnswerFormat format = AnswerFormatFor(aExchange.request_, aId);
      respond(FinalResponse(*aAnswered.answer_, format));
    },
    [&](AnswerDropped) { respond(AnswerDroppedResponse(idText)); },
    [&](ExpiredUnknown) { respond(ExpiredResponse(idText)); },
    [&](NotAccepted) { respond(NotAcceptedResponse(idText)); },
  };
  std::visit(visitor, submissions_.Find(aId, aExchange.now_));
}

void
CallerApi::Cancel(const Exchange& aExchange, const SubmissionId& aId)
{
  if (ForwardIfNotOwner(aExchange, aId)) {
    return;
  }
  const std::string idText = ToString(aId);
  const ResponseCallback& respond = aExchange.respond_;
  const AnswerFormat format = AnswerFormatFor(aExchange.request_, aId);
  const FindResult result = submissions_.RequestCancel(
    aId, MakeWaiter(respond, format), aExchange.now_);
  const Visitor visitor{
    [&](StillRunning aRunning) {
      runner_.Cancel(idText, aExchange.now_);
      if (!aRunning.attached_) {
        respond(RunningResponse(idText));
      }
    },
    [&](const Answered& aAnswered) {
      respond(FinalResponse(*aAnswered.answer_, format));
    },
    [&](AnswerDropped) { respond(AnswerDroppedResponse(idText)); },
    [&](ExpiredUnknown) { respond(ExpiredResponse(idText)); },
    [&](NotAccepted) { respond(NotAcceptedResponse(idText)); },
  };
  std::visit(visitor, result);
}

bool
CallerApi::ForwardIfNotOwner(const Exchange& aExchange, const SubmissionId& aId)
{
  const MemberId owner = aId.prefix_.owner_;
  if (owner == options_.self_) {
    return false;
  }
  if (!forwarder_.Forward(owner, aExchange.request_, aExchange.respond_)) {
    aExchange.respond_(OwnerUnreachableResponse(ToString(aId)));
  }
  return true;
}

ResponseCallback
CallerApi::WithKeyPrefix(ResponseCallback aRespond, MonoTime aNow) const
{
  return [this, respond = std::move(aRespond), aNow](HttpResponse aResponse) {
    // A draining entry issues no prefixes: submissions under them could be
    // looked up or resubmitted only until the process ends.
    if (!draining_) {
      const KeyPrefix prefix =
        IssuePrefix(options_.self_, options_.start_, aNow);
      SetHeader(aResponse, "Cornelfront-Key-Prefix", ToString(prefix));
    }
    respond(std::move(aResponse));
  };
}

void
CallerApi::SubmitJob(const Exchange& aExchange,
                     JobSpec aJob,
                     JobRunner::Done aDone)
{
  const std::string submission = aJob.submission_;
  Record(EventId::SubmissionAccepted,
         { { "submission", submission },
           { "service", aJob.service_ },
           { "tasks", std::to_string(aJob.tasks_.size()) } });
  auto done = [this, submission, inner = std::move(aDone)](JobResult aResult) {
    Record(EventId::SubmissionFinished,
           { { "submission", submission },
             { "outcome", std::string(ToString(aResult.outcome_)) },
             { "reason", std::string(ToString(aResult.reason_)) } });
    inner(std::move(aResult));
  };
  runner_.Submit(std::move(aJob), std::move(done), aExchange.now_);
}

void
CallerApi::Record(EventId aEvent, EventFields aFields) const
{
  if (options_.events_ != nullptr) {
    options_.events_->Record(aEvent, std::move(aFields), WallClock::now());
  }
}

} // namespace cornelfront
