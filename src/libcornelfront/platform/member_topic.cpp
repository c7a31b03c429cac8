#include "platform/member_topic.h"

#include "policy/yaml_reader.h"

#include <glog/logging.h>

namespace cornelfront::platform {

KeyedRecord
MemberRecord(const std::string& aName, const Endpoint& aMessages)
{
  return { .key_ = aName, .value_ = FormatEndpoint(aMessages) };
}

std::vector<Endpoint>
ReadMembers(const TopicReader::Records& aRecords)
{
  std::vector<Endpoint> entries;
  for (const auto& [name, text] : aRecords) {
    const auto endpoint = ParseEndpoint(text);
    if (endpoint) {
      entries.push_back(*endpoint);
    } else {
      LOG(WARNING) << "member name=" << name << " address=\"" << text
                   << "\" outcome=ignored";
    }
  }
  return entries;
}

} // namespace cornelfront::platform
