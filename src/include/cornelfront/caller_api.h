#pragma once

/// \file
/// HTTP interface that an entry offers to callers, specified in docs/API.md.

#include "cornelfront/dispatcher.h"
#include "cornelfront/events.h"
#include "cornelfront/filters.h"
#include "cornelfront/http_server.h"
#include "cornelfront/schema_set.h"
#include "cornelfront/sharded_submission_table.h"

#include <atomic>
#include <functional>
#include <string>

namespace cornelfront {

/// Callback that sends the response to one request. Called exactly once, from
/// any thread.
using ResponseCallback = std::function<void(HttpResponse)>;

/// Forwards requests to the entries that own their submissions.
class Forwarder
{
public:
  virtual ~Forwarder() = default;

  /// Forwards \p aRequest to \p aOwner. Returns false immediately if \p aOwner
  /// is unreachable. Otherwise returns true, and \p aRespond is called exactly
  /// once, with OwnerUnreachableResponse() if the connection to the owner is
  /// lost before its reply arrives.
  virtual bool Forward(MemberId aOwner,
                       const HttpRequest& aRequest,
                       ResponseCallback aRespond) = 0;
};

/// Response to a request whose owner is unreachable. The submission may have
/// run there.
HttpResponse
OwnerUnreachableResponse(const std::string& aSubmission);

/// Response that replaces one that exceeds the size limit for messages between
/// entries.
HttpResponse
AnswerTooLargeResponse();

struct CallerApiOptions
{
  MemberId self_;
  /// Start time of this process; issue times of key prefixes are relative to
  /// it.
  MonoTime start_;
  Millis prefixLifetime_{ 120000 };
  /// Checks that FitFilter and QuotaFilter call.
  FitCheck checkFit_;
  QuotaCheck takeQuota_;
  /// Receives submission events; may be null.
  EventLog* events_ = nullptr;
};

/// Handles callers' requests. Thread-safe; owned by the entry. The objects
/// passed to the constructor must outlive it, and it must outlive the jobs that
/// it submitted.
class CallerApi
{
public:
  /// \throws std::invalid_argument if \p aSubmissions was constructed with a
  /// different start time or prefix lifetime, since it would then misclassify
  /// the validity of this entry's prefixes
  CallerApi(CallerApiOptions aOptions,
            JobRunner& aRunner,
            ShardedSubmissionTable& aSubmissions,
            Forwarder& aForwarder,
            SchemaSource aSchemas);
  CallerApi(const CallerApi&) = delete;
  CallerApi& operator=(const CallerApi&) = delete;

  /// Handles one request from a caller. Responds 404 to paths outside the
  /// callers' interface.
  void Handle(HttpRequest aRequest, HttpReply aReply, MonoTime aNow);

  /// Handles one request that comes directly from a caller or was forwarded by
  /// another entry.
  void Handle(HttpRequest aRequest, ResponseCallback aRespond, MonoTime aNow);

  /// Refuses new submissions from now on. Requests about running and finished
  /// submissions are still answered.
  void StartDraining();

private:
  /// One request, its response callback and its arrival time.
  struct Exchange
  {
    HttpRequest request_;
    ResponseCallback respond_;
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
  /// If another entry owns the id, forwards the request to it and returns true.
  bool ForwardIfNotOwner(const Exchange& aExchange, const SubmissionId& aId);
  ResponseCallback WithKeyPrefix(ResponseCallback aRespond,
                                 MonoTime aNow) const;
  /// Submits the job to the dispatcher and records events when it is accepted
  /// and when it finishes.
  void SubmitJob(const Exchange& aExchange,
                 JobSpec aJob,
                 JobRunner::Done aDone);
  void Record(EventId aEvent, EventFields aFields) const;

  CallerApiOptions options_;
  JobRunner& runner_;
  ShardedSubmissionTable& submissions_;
  Forwarder& forwarder_;
  SchemaSource schemas_;
  std::atomic<bool> draining_{ false };
  FilterChain filters_;
  std::atomic<uint64_t> nextUnnamedId_{ 0 };
};

} // namespace cornelfront
