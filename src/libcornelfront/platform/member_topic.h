#pragma once

/// \file
/// Topics in the store, and the records through which entries announce their
/// addresses.

#include "cornelfront/settings.h"
#include "platform/topic_reader.h"

#include <string>
#include <string_view>
#include <vector>

namespace cornelfront::platform {

/// Topic of the entries' addresses.
inline constexpr std::string_view kMemberTopic = "keyed.members";

/// Topic of the jobs that must survive the loss of any process; see
/// job_ledger.h.
inline constexpr std::string_view kJobTopic = "keyed.jobs";

/// Topic of orders without an answer that may still be carried out. Only its
/// history counts, which the store drops by itself.
inline constexpr std::string_view kLateOrderTopic = "late-orders";

/// Returns the record that announces the message endpoint of an entry.
KeyedRecord
MemberRecord(const std::string& aName, const Endpoint& aMessages);

/// Returns the endpoints of all entries. Invalid records are logged and
/// skipped.
std::vector<Endpoint>
ReadMembers(const TopicReader::Records& aRecords);

} // namespace cornelfront::platform
