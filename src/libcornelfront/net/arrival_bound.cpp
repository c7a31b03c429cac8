#include "net/arrival_bound.h"

namespace cornelfront {

ArrivalBound::ArrivalBound(MonoTime aNow)
  : lookedAt_(aNow)
  , readAt_(aNow)
  , acceptedAt_(aNow)
{
}

void
ArrivalBound::BeginLook(MonoTime aNow)
{
  ++look_;
  lookedAt_ = aNow;
}

void
ArrivalBound::OnAccept(int aSocket)
{
  new_[aSocket] = { .look_ = look_, .arrivedAfter_ = acceptedAt_ };
}

void
ArrivalBound::EndLook(bool aLeft, bool aListenerEmpty)
{
  if (!aLeft) {
    readAt_ = lookedAt_;
    std::erase_if(new_, [this](const auto& aConnection) {
      return aConnection.second.look_ < look_;
    });
  }
  if (aListenerEmpty) {
    acceptedAt_ = lookedAt_;
  }
}

MonoTime
ArrivalBound::ArrivedAfter(int aSocket) const
{
  const auto found = new_.find(aSocket);
  return found == new_.end() ? readAt_ : found->second.arrivedAfter_;
}

} // namespace cornelfront
