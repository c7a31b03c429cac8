/// \file
/// JobEntry: links to sidecars, and execution of the scheduler's actions.

#include "job_entry_pvt.h"

#include "cornelfront/visitor.h"

#include <glog/logging.h>

#include <algorithm>

namespace cornelfront {

void
JobEntry::Impl::OnMessage(const LinkPtr& aLink, Envelope& aEnvelope)
{
  const MonoTime now = BootNow();
  CheckClients(now);
  if (const auto* hello = std::get_if<Hello>(&aEnvelope.message_)) {
    OnHello(aLink, *hello, now);
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
  if (const auto* held = std::get_if<HeldRuns>(&aEnvelope.message_)) {
    OnHeldRuns(sidecar, known->second, *held, now);
  } else if (const auto* reports =
               std::get_if<RunReports>(&aEnvelope.message_)) {
    scheduler_.OnReports(sidecar, *reports, now);
  } else if (const auto* crashes =
               std::get_if<UpstreamCrashes>(&aEnvelope.message_)) {
    scheduler_.OnUpstreamCrashes(sidecar, *crashes, now);
  } else if (const auto* late = std::get_if<LateOrders>(&aEnvelope.message_)) {
    LOG(INFO) << "sidecar name=" << known->second.name_
              << " orders=" << late->orders_.size() << " all=" << late->all_
              << " outcome=late_orders";
    scheduler_.OnLateOrders(sidecar, *late, now);
  } else {
    return;
  }
  PerformActions(now);
}

void
JobEntry::Impl::OnHeldRuns(MemberId aSidecar,
                           SidecarLink& aLink,
                           const HeldRuns& aHeld,
                           MonoTime aNow)
{
  const uint64_t term = stored_->Term();
  LOG(INFO) << "sidecar name=" << aLink.name_ << " runs=" << aHeld.runs_.size()
            << " ends=" << aHeld.reports_.size() << " term=" << aHeld.term_
            << " outcome=held_runs";
  if (!aLink.receivedHeldRuns_) {
    aLink.receivedHeldRuns_ = true;
    scheduler_.OnSidecarLinked(aSidecar, aLink.zone_, aNow);
    scheduler_.OnHeldRuns(aSidecar,
                          aHeld,
                          aLink.replacesEarlier_ ? RunEnd::Lost
                                                 : RunEnd::NotStarted,
                          aNow);
    if (term > 0) {
      aLink.link_->Send(TakeOver{ term, stored_->AuthorityLeft(aNow) });
    }
    return;
  }
  if (term > 0 && aHeld.term_ == term) {
    scheduler_.OnTakenOver(aSidecar, aHeld, aNow);
    stored_->OnTakenOver(aLink.name_, aSidecar, term);
  }
}

void
JobEntry::Impl::OnHello(const LinkPtr& aLink,
                        const Hello& aHello,
                        MonoTime aNow)
{
  const auto linked =
    std::find_if(sidecars_.begin(), sidecars_.end(), [&](const auto& aSidecar) {
      return aSidecar.second.name_ == aHello.name_;
    });
  if (linked != sidecars_.end()) {
    const LinkPtr old = linked->second.link_;
    scheduler_.OnSidecarLost(linked->first, aNow);
    linkOwners_.erase(old->Serial());
    sidecars_.erase(linked);
    old->Close();
  }
  const auto known = incarnations_.emplace(aHello.name_, aHello.id_).first;
  const bool replacesEarlier = known->second != aHello.id_;
  if (replacesEarlier) {
    scheduler_.OnSidecarReplaced(known->second, aHello.id_, aNow);
    known->second = aHello.id_;
  }
  sidecars_[aHello.id_] = { .link_ = aLink,
                            .name_ = aHello.name_,
                            .zone_ = aHello.zone_,
                            .replacesEarlier_ = replacesEarlier };
  linkOwners_[aLink->Serial()] = aHello.id_;
  LOG(INFO) << "sidecar name=" << aHello.name_ << " id=" << ToString(aHello.id_)
            << " outcome=linked";
  aLink->Send(Welcome{ .self_ = { .id_ = self_,
                                  .zone_ = settings_.zone_,
                                  .host_ = settings_.messages_.host_,
                                  .port_ = settings_.messages_.port_ } });
  PerformActions(aNow);
}

void
JobEntry::Impl::OnStoredLateOrders(const LateOrderRecord& aRecord,
                                   MonoTime aNow)
{
  // Its list comes before its runs; until then it may be lost with both.
  const auto linked = sidecars_.find(aRecord.sidecar_);
  if (linked != sidecars_.end() && linked->second.receivedHeldRuns_) {
    return; // it has told them by itself, and what became of them
  }
  scheduler_.OnLateOrders(
    aRecord.sidecar_, { .orders_ = aRecord.orders_ }, aNow);
  MemberId& newest =
    incarnations_.emplace(aRecord.sidecarName_, aRecord.sidecar_).first->second;
  if (newest == aRecord.sidecar_) {
    return;
  }
  if (sidecars_.contains(newest)) {
    scheduler_.OnSidecarReplaced(aRecord.sidecar_, newest, aNow);
  } else {
    scheduler_.OnSidecarReplaced(newest, aRecord.sidecar_, aNow);
    newest = aRecord.sidecar_;
  }
}

void
JobEntry::Impl::OnLinkEnd(const LinkPtr& aLink, const std::string& aDetail)
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
  LOG(WARNING) << "sidecar name=" << sidecar->second.name_
               << " outcome=link_lost reason=\"" << aDetail << "\"";
  sidecars_.erase(sidecar);
  const MonoTime now = BootNow();
  CheckClients(now);
  scheduler_.OnSidecarLost(id, now);
  PerformActions(now);
}

template<class Body>
void
JobEntry::Impl::SendTo(MemberId aSidecar, Body aBody)
{
  const auto sidecar = sidecars_.find(aSidecar);
  if (sidecar != sidecars_.end()) {
    sidecar->second.link_->Send(std::move(aBody));
  }
}

void
JobEntry::Impl::PerformActions(MonoTime aNow)
{
  for (JobAction& action : scheduler_.TakeActions()) {
    std::visit(
      Visitor{ [&](SendRuns& aSend) {
                LogPlacement(aSend);
                SendTo(aSend.sidecar_, std::move(aSend.orders_));
              },
               [&](SendStops& aSend) {
                 SendTo(aSend.sidecar_, std::move(aSend.stops_));
               },
               [&](const SaveJob& aSave) { stored_->Save(aSave); },
               [&](SendAcknowledgement& aAcknowledgement) {
                 SendTo(aAcknowledgement.sidecar_,
                        std::move(aAcknowledgement.ends_));
               },
               [&](const AnswerJob& aAnswer) { Answer(aAnswer, aNow); },
               [&](const RunEndEvent& aEvent) { LogRunEnd(aEvent); },
               [&](const StallEvent& aEvent) { LogStall(aEvent); },
               [&](const CrashingTaskEvent& aEvent) {
                 metrics_.CountCrashingTask(aEvent.queue_);
                 LOG(WARNING) << "job=" << aEvent.task_.job_
                              << " task=" << ToString(aEvent.task_)
                              << " queue=" << aEvent.queue_
                              << " crashes=" << aEvent.crashes_
                              << " outcome=crashes_upstreams";
               },
               [&](const EjectionEvent& aEvent) {
                 LOG(WARNING) << "sidecar name=" << NameOf(aEvent.sidecar_)
                              << " failed_share=" << aEvent.failedShare_
                              << " avoided_ms=" << aEvent.duration_.count()
                              << " outcome=avoided";
               } },
      action);
  }
}

std::string
JobEntry::Impl::NameOf(MemberId aSidecar) const
{
  const auto known =
    std::find_if(incarnations_.begin(),
                 incarnations_.end(),
                 [&](const auto& aKnown) { return aKnown.second == aSidecar; });
  return known == incarnations_.end() ? ToString(aSidecar) : known->first;
}

void
JobEntry::Impl::LogPlacement(const SendRuns& aSend) const
{
  const StartRuns& orders = aSend.orders_;
  LOG(INFO) << "job=" << orders.job_ << " occurrence=" << orders.occurrence_
            << " step=" << orders.step_ << " tasks=" << orders.runs_.size()
            << " first_task=" << orders.runs_.front().index_
            << " run=" << orders.runs_.front().run_
            << " sidecar=" << NameOf(aSend.sidecar_) << " term=" << orders.term_
            << " predicted_wait_ms=" << aSend.predictedWait_.count()
            << " goal_ms=" << orders.timeToLatestStart_.count()
            << " report_age_ms=" << aSend.reportAge_.count()
            << " outcome=placed";
}

void
JobEntry::Impl::LogRunEnd(const RunEndEvent& aEvent) const
{
  const RunReport& report = aEvent.report_;
  LOG(INFO) << "job=" << report.key_.task_.job_
            << " run=" << ToString(report.key_)
            << " sidecar=" << NameOf(aEvent.sidecar_)
            << " waited_ms=" << report.waited_.count()
            << " ran_ms=" << report.runTime_.count()
            << " failures_before=" << aEvent.failures_
            << " end=" << ToString(report.end_) << " found=" << report.found_
            << " outcome=run_ended";
}

void
JobEntry::Impl::LogStall(const StallEvent& aEvent) const
{
  LOG(INFO) << "job=" << aEvent.stalled_.key_.task_.job_
            << " run=" << ToString(aEvent.stalled_.key_)
            << " sidecar=" << NameOf(aEvent.sidecar_)
            << " age_ms=" << aEvent.stalled_.age_.count()
            << " percent=" << aEvent.stalled_.percent_
            << " slowness=" << aEvent.slowness_ << " outcome=run_stalled";
}

} // namespace cornelfront
