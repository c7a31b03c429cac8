#include "cornelfront/late_order_record.h"

#include "controllers/record_value_pvt.h"

#include <cereal/types/chrono.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <glog/logging.h>

namespace cornelfront {
namespace {

struct Value
{
  MemberId sidecar_;
  std::vector<LateOrder> orders_;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(sidecar_, orders_);
  }
};

} // namespace

KeyedRecord
EncodeLateOrders(const LateOrderRecord& aRecord)
{
  return { aRecord.sidecarName_,
           EncodeValue(Value{ aRecord.sidecar_, aRecord.orders_ }) };
}

std::optional<LateOrderRecord>
DecodeLateOrders(const KeyedRecord& aRecord)
{
  try {
    auto value = DecodeValue<Value>(aRecord.value_);
    return LateOrderRecord{ .sidecarName_ = aRecord.key_,
                            .sidecar_ = value.sidecar_,
                            .orders_ = std::move(value.orders_) };
  } catch (const std::exception& error) {
    LOG(ERROR) << "late orders sidecar=" << aRecord.key_
               << " outcome=ignored reason=\"" << error.what() << "\"";
    return std::nullopt;
  }
}

} // namespace cornelfront
