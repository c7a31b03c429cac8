/// \file
/// Model of an entry for two_runs_test.cpp; follows JobEntry.

#include "policy/two_runs_model_test.h"

#include "cornelfront/visitor.h"

#include <algorithm>

namespace cornelfront::two_runs {
namespace {

constexpr Millis kTickInterval{ 25 };
constexpr Millis kObjective{ 60000 };

} // namespace

EntryProcess::EntryProcess(World& aWorld, size_t aMachine)
  : Process(aWorld, aMachine)
  , scheduler_(JobSchedulerOptions{ .self_ = Id() })
  , leadership_(Id(), {}, Now())
{
}

void
EntryProcess::Start()
{
  ReadLateOrders();
  StartReading();
  Post(kTickInterval, [this] { Tick(); });
}

void
EntryProcess::Tick()
{
  CheckClients();
  scheduler_.Tick(Now());
  TickLeader();
  PerformActions();
  Post(kTickInterval, [this] { Tick(); });
}

void
EntryProcess::Submit(JobSubmissionId aSubmissionId,
                     const JobDescription& aJob,
                     Millis aTimeout,
                     MonoTime aArrived)
{
  const JobQueue queue{ .name_ = "queue",
                        .service_ = "service",
                        .priority_ = 1,
                        .attempts_ = 3,
                        .slo_ = kObjective };
  CheckClients();
  if (!scheduler_.HoldsInstance({ aJob.id_ })) {
    heldSince_[aJob.id_] = Now();
  }
  scheduler_.Submit(aSubmissionId,
                    aJob,
                    queue,
                    aArrived + aTimeout,
                    Now(),
                    std::chrono::duration_cast<Millis>(Now() - aArrived));
  PerformActions();
}

void
EntryProcess::CheckClients()
{
  if (standstill_.OnCall(Now()) <= Standstill::kLongestPause) {
    return;
  }
  for (const JobSubmissionId id : std::exchange(arrivedEnds_, {})) {
    OnClientDisconnected(id);
  }
}

void
EntryProcess::OnClientDisconnected(JobSubmissionId aSubmissionId)
{
  arrivedEnds_.erase(aSubmissionId);
  scheduler_.OnClientDisconnected(aSubmissionId, Now());
  PerformActions();
}

void
EntryProcess::OnMessage(const LinkPtr& aLink,
                        Message& aMessage,
                        const MessageTimes&)
{
  CheckClients();
  if (const auto* hello = std::get_if<Hello>(&aMessage)) {
    OnHello(aLink, *hello);
    return;
  }
  const auto found = linkOwners_.find(aLink->Serial());
  if (found == linkOwners_.end()) {
    return;
  }
  const MemberId sidecar = found->second;
  const auto known = sidecars_.find(sidecar);
  if (known == sidecars_.end() || known->second.link_ != aLink) {
    return;
  }
  if (const auto* held = std::get_if<HeldRuns>(&aMessage)) {
    OnHeldRuns(sidecar, known->second, *held);
  } else if (const auto* reports = std::get_if<RunReports>(&aMessage)) {
    scheduler_.OnReports(sidecar, *reports, Now());
  } else if (const auto* late = std::get_if<LateOrders>(&aMessage)) {
    scheduler_.OnLateOrders(sidecar, *late, Now());
  } else {
    return;
  }
  PerformActions();
}

void
EntryProcess::OnHello(const LinkPtr& aLink, const Hello& aHello)
{
  const MonoTime now = Now();
  const auto linked =
    std::find_if(sidecars_.begin(), sidecars_.end(), [&](const auto& aSidecar) {
      return aSidecar.second.name_ == aHello.name_;
    });
  if (linked != sidecars_.end()) {
    const LinkPtr old = linked->second.link_;
    scheduler_.OnSidecarLost(linked->first, now);
    linkOwners_.erase(old->Serial());
    sidecars_.erase(linked);
    old->Close(Side::Entry);
  }
  const auto known = incarnations_.emplace(aHello.name_, aHello.id_).first;
  const bool replacesEarlier = known->second != aHello.id_;
  if (replacesEarlier) {
    scheduler_.OnSidecarReplaced(known->second, aHello.id_, now);
    known->second = aHello.id_;
  }
  sidecars_[aHello.id_] = { .link_ = aLink,
                            .name_ = aHello.name_,
                            .replacesEarlier_ = replacesEarlier };
  linkOwners_[aLink->Serial()] = aHello.id_;
  aLink->Send(Side::Entry, Welcome{ .self_ = { .id_ = Id() } });
  PerformActions();
}

void
EntryProcess::OnHeldRuns(MemberId aSidecar,
                         SidecarLink& aLink,
                         const HeldRuns& aHeld)
{
  if (aLink.receivedHeldRuns_) {
    OnTakenOver(aSidecar, aHeld);
    return;
  }
  aLink.receivedHeldRuns_ = true;
  for (const RunKey& key : aHeld.runs_) {
    world_.Record({ ToString(key.task_), std::nullopt, Machine() },
                  NameOf(aSidecar) + " holds " + ToString(key));
  }
  for (const RunReport& report : aHeld.reports_) {
    world_.Record({ ToString(report.key_.task_), std::nullopt, Machine() },
                  NameOf(aSidecar) +
                    " tells, when linked: " + ToString(report.key_) + ' ' +
                    std::string(ToString(report.end_)));
  }
  scheduler_.OnSidecarLinked(aSidecar, "", Now());
  scheduler_.OnHeldRuns(aSidecar,
                        aHeld,
                        aLink.replacesEarlier_ ? RunEnd::Lost
                                               : RunEnd::NotStarted,
                        Now());
  if (Term() > 0) {
    aLink.link_->Send(Side::Entry, TakeOver{ Term(), AuthorityLeft(Now()) });
  }
}

void
EntryProcess::OnLinkEnd(const LinkPtr& aLink)
{
  const auto found = linkOwners_.find(aLink->Serial());
  if (found == linkOwners_.end()) {
    return;
  }
  const MemberId id = found->second;
  linkOwners_.erase(found);
  const auto sidecar = sidecars_.find(id);
  if (sidecar == sidecars_.end() || sidecar->second.link_ != aLink) {
    return;
  }
  sidecars_.erase(sidecar);
  scheduler_.OnSidecarLost(id, Now());
  PerformActions();
}

void
EntryProcess::PerformActions()
{
  for (JobAction& action : scheduler_.TakeActions()) {
    std::visit(Visitor{ [&](SendRuns& aSend) { SendRunsTo(aSend); },
                        [&](SendStops& aSend) { SendStopsTo(aSend); },
                        [&](SendAcknowledgement& aSend) {
                          const auto sidecar = sidecars_.find(aSend.sidecar_);
                          if (sidecar != sidecars_.end()) {
                            sidecar->second.link_->Send(Side::Entry,
                                                        std::move(aSend.ends_));
                          }
                        },
                        [&](const AnswerJob& aAnswer) {
                          world_.OnAnswer(aAnswer.submissionId_,
                                          aAnswer.outcome_);
                        },
                        [&](const RunEndEvent& aEvent) { RecordEnd(aEvent); },
                        [](const auto&) {} },
               action);
  }
}

void
EntryProcess::SendRunsTo(SendRuns& aSend)
{
  for (const RunOrder& order : aSend.orders_.runs_) {
    world_.Record(
      { ToString(aSend.orders_.Task(order)), std::nullopt, Machine() },
      "places run " + std::to_string(order.run_) + " at " +
        NameOf(aSend.sidecar_));
  }
  const auto sidecar = sidecars_.find(aSend.sidecar_);
  if (sidecar != sidecars_.end()) {
    sidecar->second.link_->Send(Side::Entry, std::move(aSend.orders_));
  }
}

void
EntryProcess::SendStopsTo(SendStops& aSend)
{
  const auto sidecar = sidecars_.find(aSend.sidecar_);
  for (const RunKey& key : aSend.stops_.runs_) {
    world_.Record(
      { ToString(key.task_), std::nullopt, Machine() },
      "orders the stop of " + ToString(key) + " at " + NameOf(aSend.sidecar_) +
        (sidecar == sidecars_.end() ? ", which is not linked" : ""));
  }
  if (sidecar != sidecars_.end()) {
    sidecar->second.link_->Send(Side::Entry, std::move(aSend.stops_));
  }
}

void
EntryProcess::RecordEnd(const RunEndEvent& aEvent)
{
  const RunKey& key = aEvent.report_.key_;
  world_.Record({ ToString(key.task_), std::nullopt, Machine() },
                "takes " + ToString(key) + " at " + NameOf(aEvent.sidecar_) +
                  " as " + std::string(ToString(aEvent.report_.end_)));
}

std::string
EntryProcess::NameOf(MemberId aSidecar) const
{
  for (const auto& [name, id] : incarnations_) {
    if (id == aSidecar) {
      return name;
    }
  }
  return ToString(aSidecar);
}

} // namespace cornelfront::two_runs
