#include "policy/indexed_heap_pvt.h"

namespace cornelfront {

void
IndexedHeap::Set(Item aItem, uint64_t aKey)
{
  if (aItem >= positions_.size()) {
    positions_.resize(aItem + 1, 0);
  }
  if (positions_[aItem] == 0) {
    nodes_.push_back({ aKey, aItem });
    positions_[aItem] = static_cast<uint32_t>(nodes_.size());
  }
  const size_t position = positions_[aItem] - 1;
  nodes_[position].key_ = aKey;
  SiftUp(position);
  SiftDown(positions_[aItem] - 1);
}

void
IndexedHeap::Remove(Item aItem)
{
  if (!Contains(aItem)) {
    return;
  }
  const size_t position = positions_[aItem] - 1;
  const Node last = nodes_.back();
  nodes_.pop_back();
  positions_[aItem] = 0;
  if (last.item_ != aItem) {
    Place(position, last);
    SiftUp(position);
    SiftDown(positions_[last.item_] - 1);
  }
}

bool
IndexedHeap::Contains(Item aItem) const
{
  return aItem < positions_.size() && positions_[aItem] != 0;
}

void
IndexedHeap::Place(size_t aPosition, Node aNode)
{
  nodes_[aPosition] = aNode;
  positions_[aNode.item_] = static_cast<uint32_t>(aPosition + 1);
}

void
IndexedHeap::SiftUp(size_t aPosition)
{
  const Node node = nodes_[aPosition];
  while (aPosition > 0) {
    const size_t parent = (aPosition - 1) / 2;
    if (nodes_[parent].key_ <= node.key_) {
      break;
    }
    Place(aPosition, nodes_[parent]);
    aPosition = parent;
  }
  Place(aPosition, node);
}

void
IndexedHeap::SiftDown(size_t aPosition)
{
  const Node node = nodes_[aPosition];
  for (;;) {
    size_t child = 2 * aPosition + 1;
    if (child >= nodes_.size()) {
      break;
    }
    if (child + 1 < nodes_.size() &&
        nodes_[child + 1].key_ < nodes_[child].key_) {
      ++child;
    }
    if (node.key_ <= nodes_[child].key_) {
      break;
    }
    Place(aPosition, nodes_[child]);
    aPosition = child;
  }
  Place(aPosition, node);
}

} // namespace cornelfront
