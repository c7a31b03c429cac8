/// \file
/// JobSidecar: links to entries.

#include "job_sidecar_pvt.h"

#include "job_links_pvt.h"

#include <glog/logging.h>

namespace cornelfront {
namespace {

/// Maximum time that an order may have been under way. An older one is not
/// carried out. JobSchedulerOptions::lostRunTimeout_ rests on it.
constexpr Millis kMaxMessageAge{ 1000 };

} // namespace

LinkPtr
JobSidecar::Impl::OnConnect(asio::ip::tcp::socket aSocket)
{
  auto link =
    std::make_shared<Link>(std::move(aSocket), settings_.links_, handlers_);
  link->Start();
  link->Send(Hello{ .role_ = Role::Sidecar,
                    .id_ = self_,
                    .name_ = settings_.name_,
                    .zone_ = settings_.zone_ });
  return link;
}

void
JobSidecar::Impl::OnMessage(const LinkPtr& aLink, Envelope& aEnvelope)
{
  const MonoTime now = BootNow();
  if (DetectSuspension(now)) {
    SendPending(now);
  }
  if (const auto* welcome = std::get_if<Welcome>(&aEnvelope.message_)) {
    OnWelcome(aLink, welcome->self_.id_, TimesOf(aEnvelope), now);
    return;
  }
  const auto entry = entries_.find(aLink->Serial());
  if (entry == entries_.end()) {
    return;
  }
  const MemberId id = entry->second;
  const auto owner = owners_.find(id);
  if (owner == owners_.end() || owner->second.link_ != aLink) {
    return;
  }
  const auto knownAge = owner->second.transit_.Measure(TimesOf(aEnvelope), now);
  if (knownAge) {
    table_.OnOwnerHeard(id, now, *knownAge);
  }
  const Millis age = knownAge.value_or(kMaxMessageAge);
  if (std::holds_alternative<StartRuns>(aEnvelope.message_)) {
    OnOrders(id, aEnvelope, now);
  } else if (const auto* stop = std::get_if<StopRuns>(&aEnvelope.message_)) {
    table_.OnStop(id, *stop, now, age);
  } else if (const auto* over = std::get_if<TakeOver>(&aEnvelope.message_)) {
    OnTakeOver(aLink, id, *over, now, age);
  } else if (const auto* authority =
               std::get_if<LeaderAuthority>(&aEnvelope.message_)) {
    table_.OnLeaderAuthority(id, *authority, now, age);
  } else if (const auto* ends =
               std::get_if<AcknowledgeEnds>(&aEnvelope.message_)) {
    table_.OnAcknowledgeEnds(*ends);
  } else {
    return;
  }
  SendPending(now);
}

void
JobSidecar::Impl::OnTakeOver(const LinkPtr& aLink,
                             MemberId aEntry,
                             const TakeOver& aTakeOver,
                             MonoTime aNow,
                             Millis aAge)
{
  const bool newest = table_.OnTakeOver(aEntry, aTakeOver, aNow, aAge);
  LOG(INFO) << "leader id=" << ToString(aEntry) << " term=" << aTakeOver.term_
            << " authority_ms=" << aTakeOver.authority_.count()
            << " outcome=" << (newest ? "followed" : "outdated");
  if (newest) {
    aLink->Send(table_.MakeHeldRuns(aEntry));
  }
}

void
JobSidecar::Impl::OnWelcome(const LinkPtr& aLink,
                            MemberId aEntry,
                            const MessageTimes& aTimes,
                            MonoTime aNow)
{
  const auto known = owners_.find(aEntry);
  if (known != owners_.end() && known->second.link_ != aLink) {
    known->second.link_->Close();
    entries_.erase(known->second.link_->Serial());
  }
  entries_[aLink->Serial()] = aEntry;
  Owner& owner = owners_[aEntry];
  owner = { .link_ = aLink };
  table_.OnOwnerLinked(
    aEntry,
    aNow,
    owner.transit_.Measure(aTimes, aNow).value_or(kMaxMessageAge));
  if (auto crashes = table_.KnownCrashes(); !crashes.empty()) {
    aLink->Send(UpstreamCrashes{ std::move(crashes) });
  }
  aLink->Send(table_.KnownLateOrders(aNow));
  aLink->Send(table_.MakeHeldRuns(aEntry));
  Send(aEntry, owner, {}, table_.MakeUpstreamReport(aNow), aNow);
  LOG(INFO) << "entry id=" << ToString(aEntry) << " outcome=linked";
}

void
JobSidecar::Impl::OnOrders(MemberId aEntry, Envelope& aEnvelope, MonoTime aNow)
{
  auto& orders = std::get<StartRuns>(aEnvelope.message_);
  const Millis age = MaxAgeOf(aEnvelope, aNow);
  if (age > kMaxMessageAge) {
    LOG(WARNING) << "orders job=" << orders.job_ << " age_ms=" << age.count()
                 << " outcome=too_old";
    orders.startTimeout_ = Millis(0);
  }
  Owner& owner = owners_[aEntry];
  owner.ordersReceived_ += orders.runs_.size();
  owner.reportSchedule_.OnOrders(aNow);
  table_.OnOrders(aEntry, orders, aNow);
}

void
JobSidecar::Impl::OnLinkEnd(const LinkPtr& aLink, const std::string& aDetail)
{
  if (!linksClosed_) {
    connector_->OnLinkEnd(aLink);
  }
  const auto entry = entries_.find(aLink->Serial());
  if (entry == entries_.end()) {
    return;
  }
  const auto owner = owners_.find(entry->second);
  if (owner != owners_.end() && owner->second.link_ == aLink) {
    owners_.erase(owner);
    table_.OnOwnerUnlinked(entry->second, BootNow());
    LOG(WARNING) << "entry id=" << ToString(entry->second)
                 << " outcome=link_lost reason=\"" << aDetail << "\"";
  }
  entries_.erase(entry);
}

void
JobSidecar::Impl::SendStatus(MonoTime aNow)
{
  const UpstreamReport report = table_.MakeUpstreamReport(aNow);
  for (auto& [id, owner] : owners_) {
    if (owner.reportSchedule_.IsDue(report, owners_.size(), aNow)) {
      Send(id, owner, {}, report, aNow);
    }
  }
}

void
JobSidecar::Impl::SendCrashes()
{
  const UpstreamCrashes message{ table_.TakeCrashes() };
  if (message.crashes_.empty()) {
    return;
  }
  for (const UpstreamCrash& crash : message.crashes_) {
    metrics_.CountCrash(crash.state_);
    LOG(WARNING) << "upstream crash=" << crash.number_
                 << " tasks=" << crash.tasks_.size()
                 << " outcome=" << ToString(crash.state_);
    for (const JobTaskId& task : crash.tasks_) {
      LOG(INFO) << "job=" << task.job_ << " task=" << ToString(task)
                << " crash=" << crash.number_
                << " outcome=" << ToString(crash.state_);
    }
  }
  for (auto& [id, owner] : owners_) {
    owner.link_->Send(message);
  }
}

void
JobSidecar::Impl::SendLateOrders(MonoTime aNow)
{
  const LateOrders changes = table_.TakeLateOrders(aNow);
  if (changes.orders_.empty()) {
    return;
  }
  for (const LateOrder& order : changes.orders_) {
    LOG(INFO) << "job=" << order.task_.job_ << " task=" << ToString(order.task_)
              << " left_ms=" << order.left_.count()
              << " late_order=" << ToString(order.state_);
  }
  lateOrderJournal_.Note(changes, aNow);
  metrics_.SetGauge("late_orders",
                    static_cast<double>(table_.LateOrderCount()));
  for (auto& [id, owner] : owners_) {
    owner.link_->Send(changes);
  }
}

void
JobSidecar::Impl::Send(MemberId aEntry,
                       Owner& aOwner,
                       RunTable::Updates aUpdates,
                       const UpstreamReport& aReport,
                       MonoTime aNow)
{
  RunReports message{ .reports_ = std::move(aUpdates.reports_),
                      .stalled_ = std::move(aUpdates.stalled_),
                      .started_ = std::move(aUpdates.started_),
                      .upstream_ = aReport };
  message.upstream_.ordersReceived_ = aOwner.ordersReceived_;
  aOwner.reportSchedule_.OnSent(aReport, aNow);
  if (!aOwner.link_->Send(std::move(message))) {
    VLOG(1) << "entry id=" << ToString(aEntry) << " outcome=link_ended";
  }
}

} // namespace cornelfront
