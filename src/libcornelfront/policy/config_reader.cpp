#include "cornelfront/config_reader.h"

#include <algorithm>

namespace cornelfront {

ConfigReader::ConfigReader(ConfigState aState)
  : state_(std::move(aState))
{
}

uint64_t
ConfigReader::NextRead() const
{
  return HasGap() ? std::max(searchOffset_, first_) : state_.nextOffset_;
}

std::vector<FoldedRecord>
ConfigReader::OnPage(const LogPage& aPage)
{
  std::vector<FoldedRecord> folded;
  first_ = std::max(first_, aPage.first_);
  next_ = aPage.next_;
  if (HasGap()) {
    FindSnapshot(aPage, folded);
  } else {
    FoldInOrder(aPage, folded);
  }
  // A page that was read before the state another process sent does not show
  // that the state is at the head.
  atHead_ = state_.nextOffset_ == aPage.next_;
  return folded;
}

void
ConfigReader::FoldInOrder(const LogPage& aPage,
                          std::vector<FoldedRecord>& aFolded)
{
  for (const LogRecord& record : aPage.records_) {
    if (record.offset_ > state_.nextOffset_) {
      return;
    }
    if (record.offset_ < state_.nextOffset_) {
      continue;
    }
    const FoldResult result =
      FoldConfigRecord(state_, record.offset_, record.body_);
    if (result == FoldResult::SnapshotIgnored) {
      snapshotOffset_ = record.offset_;
    }
    aFolded.push_back(
      { .offset_ = record.offset_, .result_ = result, .body_ = record.body_ });
  }
}

void
ConfigReader::FindSnapshot(const LogPage& aPage,
                           std::vector<FoldedRecord>& aFolded)
{
  for (const LogRecord& record : aPage.records_) {
    searchOffset_ = record.offset_ + 1;
    const auto snapshot = DecodeConfigSnapshot(record.body_);
    // The records that follow the snapshot's state must still be retained.
    if (!snapshot || snapshot->state_.nextOffset_ < first_) {
      continue;
    }
    const FoldResult result =
      FoldConfigRecord(state_, record.offset_, record.body_);
    if (result == FoldResult::SnapshotLoaded) {
      searchOffset_ = 0;
      aFolded.push_back({ .offset_ = record.offset_,
                          .result_ = result,
                          .body_ = record.body_ });
      return;
    }
  }
}

bool
ConfigReader::Offer(const ConfigState& aState)
{
  if (aState.nextOffset_ <= state_.nextOffset_) {
    return false;
  }
  state_ = aState;
  searchOffset_ = 0;
  atHead_ = false;
  return true;
}

bool
IsSnapshotDue(const ConfigReader& aReader,
              Millis aSinceSnapshot,
              const SnapshotOptions& aOptions)
{
  if (!aReader.AtHead() || aReader.State().version_ == ConfigVersion{}) {
    return false;
  }
  if (aSinceSnapshot >= aOptions.maxAge_) {
    return true;
  }
  const auto newest = aReader.SnapshotOffset();
  const uint64_t since = newest ? *newest : aReader.First();
  if (aReader.Next() - since > aOptions.maxRecords_) {
    return true;
  }
  if (aReader.First() == 0) {
    return false;
  }
  const uint64_t middle =
    aReader.First() + (aReader.Next() - aReader.First()) / 2;
  return !newest || *newest < middle;
}

} // namespace cornelfront
