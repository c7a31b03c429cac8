#pragma once

/// \file
/// The callers' interface of an entry; docs/API.md describes it from outside.

#include "cornelfront/dispatcher.h"
#include "cornelfront/events.h"
#include "cornelfront/filters.h"
#include "cornelfront/http_server.h"
#include "cornelfront/schema_set.h"
#include "cornelfront/submissions.h"

#include <atomic>
#include <functional>
#include <string>

namespace cornelfront {

/// Sends the response to one request; called exactly once, from any thread.
using Respond = std::function<void(HttpResponse)>;

/// Passes requests to the entries that own their submissions.
class Forwarder
{
public:
  virtual ~Forwarder() = default;

  /// Passes \p aRequest on and returns true, or returns false at once if
  /// \p aOwner cannot be reached. \p aRespond is called exactly once after a
  /// return of true, with OwnerUnreachable() if the owner is lost meanwhile.
  virtual bool Forward(MemberId aOwner,
                       const HttpRequest& aRequest,
                       Respond aRespond) = 0;
};

/// Response to a request whose owner cannot be asked: it may have run there.
HttpResponse
OwnerUnreachable(const std::string& aSubmission);

/// Response in place of one that is too large to pass between entries.
HttpResponse
AnswerTooLarge();

struct CallerApiOptions
{
  MemberId self_;
  /// Start of this process, from which the issue times of prefixes count.
  MonoTime start_;
  Millis prefixLifetime_{ 120000 };
  /// See FitFilter and QuotaFilter.
  FitCheck fits_;
  QuotaCheck quota_;
  /// Gets the events of submissions; may be null.
  EventLog* events_ = nullptr;
};

/// Answers callers' requests. Thread-safe; owned by the entry. The objects it
/// is built on must outlive it, and it must outlive the jobs it submitted.
class CallerApi
{
public:
  /// \throws std::invalid_argument if \p aSubmissions was built with another
  /// start or prefix lifetime, as it would misjudge this entry's prefixes
  CallerApi(CallerApiOptions aOptions,
            JobRunner& aRunner,
            Submissions& aSubmissions,
            Forwarder& aForwarder,
            SchemaSource aSchemas);
  CallerApi(const CallerApi&) = delete;
  CallerApi& operator=(const CallerApi&) = delete;

  /// Answers one request from a caller. Paths that are not part of the
  /// callers' interface get 404.
  void Handle(HttpRequest aRequest, HttpReply aReply, MonoTime aNow);

  /// Answers one request from a caller or, passed on, from another entry.
  void Handle(HttpRequest aRequest, Respond aRespond, MonoTime aNow);

  /// From now on nothing begins any more: new submissions are refused, running
  /// and finished ones are still answered.
  void StartDraining();

private:
  /// One request, and how to answer it.
  struct Exchange
  {
    HttpRequest request_;
    Respond respond_;
    MonoTime now_;
  };

  void Route(const Exchange& aExchange);
  void IssueKeyPrefix(const Exchange& aExchange);
  void Refuse(const Exchange& aExchange,
              const Refusal& aRefusal,
              const std::string& aSubmission);
  void Submit(const Exchange& aExchange, SubmissionRequest aRequest);
  void SubmitWithoutId(const Exchange& aExchange, SubmissionRequest aRequest);
  void BeginSubmission(const Exchange& aExchange, SubmissionRequest aRequest);
  void RunAttempt(const Exchange& aExchange,
                  SubmissionRequest aRequest,
                  NewAttempt aAttempt);
  void LookUp(const Exchange& aExchange, const SubmissionId& aId);
  void Cancel(const Exchange& aExchange, const SubmissionId& aId);
  /// Returns true if another entry owns the id, after passing the request on.
  bool PassedOn(const Exchange& aExchange, const SubmissionId& aId);
  Respond WithKeyPrefix(Respond aRespond, MonoTime aNow) const;
  /// Gives the job to the dispatcher and records its beginning and its end.
  void Run(const Exchange& aExchange, JobSpec aJob, JobRunner::Done aDone);
  void Record(EventId aEvent, EventFields aFields) const;

  CallerApiOptions options_;
  JobRunner& runner_;
  Submissions& submissions_;
  Forwarder& forwarder_;
  SchemaSource schemas_;
  std::atomic<bool> draining_{ false };
  FilterChain filters_;
  std::atomic<uint64_t> nextUnnamed_{ 0 };
};

} // namespace cornelfront
