#pragma once

/// \file
/// Topics that the system keeps in the store, and the records in which entries
/// say where they can be reached.

#include "cornelfront/settings.h"
#include "platform/store_client.h"

#include <string>
#include <string_view>
#include <vector>

namespace cornelfront::platform {

inline constexpr std::string_view kMemberTopic = "keyed.members";

/// Topic of the jobs that must survive every process; see job_ledger.h.
inline constexpr std::string_view kJobTopic = "keyed.jobs";

/// The record of an entry.
KeyedRecord
MemberRecord(const std::string& aName, const Endpoint& aMessages);

/// Endpoints of all entries; records that can't be read are logged.
std::vector<Endpoint>
ReadMembers(const TopicReader::Records& aRecords);

} // namespace cornelfront::platform
