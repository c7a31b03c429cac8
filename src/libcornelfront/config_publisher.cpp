#include "cornelfront/config_publisher.h"

#include "cornelfront/config_reader.h"

#include <algorithm>
#include <thread>

namespace cornelfront {

namespace {

constexpr const char* kEntryZonesKey = "entry_zones";

void
AddZoneList(ConfigHistory& aHistory, std::vector<std::string> aZones)
{
  const auto& known = aHistory.zoneLists_;
  if (!aZones.empty() &&
      std::find(known.begin(), known.end(), aZones) == known.end()) {
    aHistory.zoneLists_.push_back(std::move(aZones));
  }
}

std::vector<std::string>
ParseZoneList(const std::string& aText)
{
  ConfigState state;
  state.keys_[kEntryZonesKey].text_ = aText;
  return state.EntryZones();
}

void
AddRecord(ConfigHistory& aHistory, const FoldedRecord& aRecord)
{
  HistoryRecord record{ .offset_ = aRecord.offset_,
                        .result_ = aRecord.result_,
                        .change_ = DecodeConfigChange(aRecord.body_) };
  if (const auto snapshot = DecodeConfigSnapshot(aRecord.body_)) {
    AddZoneList(aHistory, snapshot->state_.EntryZones());
  } else if (record.result_ == FoldResult::Applied &&
             record.change_->key_ == kEntryZonesKey) {
    AddZoneList(aHistory, ParseZoneList(record.change_->text_));
  }
  aHistory.records_.push_back(std::move(record));
}

const HistoryRecord*
FindChange(const ConfigHistory& aHistory, const std::string& aChangeId)
{
  for (const HistoryRecord& record : aHistory.records_) {
    if (record.change_ && record.change_->changeId_ == aChangeId) {
      return &record;
    }
  }
  return nullptr;
}

/// Returns the result of publishing a change whose record is in the log.
PublishResult
MakePublishResult(const HistoryRecord& aRecord, ConfigHistory aHistory)
{
  if (aRecord.result_ == FoldResult::Applied) {
    return { .outcome_ = PublishOutcome::Applied,
             .version_ = { aRecord.offset_ + 1 },
             .history_ = std::move(aHistory) };
  }
  const ConfigVersion currentVersion =
    aHistory.state_.Get(aRecord.change_->key_).version_;
  return { .outcome_ = PublishOutcome::Conflict,
           .version_ = currentVersion,
           .history_ = std::move(aHistory) };
}

class Publisher
{
public:
  Publisher(LogClient& aLog,
            const PublishRequest& aRequest,
            const PublishOptions& aOptions)
    : log_(aLog)
    , request_(aRequest)
    , options_(aOptions)
  {
  }

  /// Makes one attempt. Returns nullopt after the append; the next attempt
  /// reads the outcome from the log.
  /// \throws LogUnavailable
  std::optional<PublishResult> TryPublish()
  {
    ConfigHistory history = ReadConfigHistory(log_, options_.timeout_);
    if (const auto* found = FindChange(history, request_.changeId_)) {
      return MakePublishResult(HistoryRecord(*found), std::move(history));
    }
    const ConfigValue current = history.state_.Get(request_.key_);
    if (!baseFixed_) {
      if (current.text_ == request_.text_ &&
          current.version_ != ConfigVersion{}) {
        return PublishResult{ .outcome_ = PublishOutcome::Unchanged,
                              .version_ = current.version_,
                              .history_ = std::move(history) };
      }
      // The base stays the same in all attempts. With a later base, the change
      // could overwrite one that the operator has not seen.
      base_ = request_.base_.value_or(current.version_);
      baseFixed_ = true;
    }
    log_.Append(
      EncodeConfigRecord(ConfigChange{ .changeId_ = request_.changeId_,
                                       .author_ = request_.author_,
                                       .key_ = request_.key_,
                                       .base_ = base_,
                                       .text_ = request_.text_ }),
      options_.timeout_);
    return std::nullopt;
  }

private:
  LogClient& log_;
  const PublishRequest& request_;
  const PublishOptions& options_;
  ConfigVersion base_;
  bool baseFixed_ = false;
};

} // namespace

ConfigHistory
ReadConfigHistory(LogClient& aLog, Millis aTimeout)
{
  ConfigHistory history;
  ConfigReader reader;
  while (!reader.AtHead()) {
    const uint64_t from = reader.NextRead();
    const LogPage page = aLog.Read({ .from_ = from, .timeout_ = aTimeout });
    for (const FoldedRecord& record : reader.OnPage(page)) {
      AddRecord(history, record);
    }
    if (reader.HasGap() && reader.NextRead() >= page.next_) {
      throw LogUnavailable(
        "log: records before " + std::to_string(page.first_) +
        " are no longer retained and no snapshot covers them");
    }
    if (!reader.AtHead() && reader.NextRead() == from && !reader.HasGap()) {
      throw LogUnavailable("log: read returned no records from offset " +
                           std::to_string(from));
    }
  }
  history.state_ = reader.State();
  AddZoneList(history, history.state_.EntryZones());
  return history;
}

PublishResult
PublishChange(LogClient& aLog,
              const PublishRequest& aRequest,
              const PublishOptions& aOptions)
{
  Publisher publisher(aLog, aRequest, aOptions);
  const MonoTime deadline = MonoClock::now() + aOptions.totalTimeout_;
  while (true) {
    try {
      if (auto result = publisher.TryPublish()) {
        return std::move(*result);
      }
    } catch (const LogUnavailable&) {
      if (MonoClock::now() >= deadline) {
        throw;
      }
      std::this_thread::sleep_for(aOptions.retryPause_);
    }
  }
}

} // namespace cornelfront
