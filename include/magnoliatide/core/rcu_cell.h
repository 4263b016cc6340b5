// A cell whose value is replaced by read-copy-update. Readers never wait;
// a writer waits until no reader can still see the old value.
#ifndef MAGNOLIATIDE_CORE_RCU_CELL_H
#define MAGNOLIATIDE_CORE_RCU_CELL_H

#include <memory>
#include <mutex>

namespace magnoliatide {

namespace detail {
void
RcuReadLock();
void
RcuReadUnlock(const void* aCell);
void
RcuSynchronize(const void* aCell);
void*
RcuExchange(void** aSlot, void* aNew);
void*
RcuLoad(void* const* aSlot);
} // namespace detail

/// Holds an immutable value that many threads read and few replace.
///
///     RcuCell<Document> cell(first);
///     auto now = cell.Load();   // shared_ptr<const Document>
template<typename T>
class RcuCell
{
public:
  using Pointer = std::shared_ptr<const T>;

  explicit RcuCell(Pointer aFirst = nullptr)
    : mSlot(new Pointer(std::move(aFirst)))
  {
  }

  ~RcuCell() { delete static_cast<Pointer*>(mSlot); }

  RcuCell(const RcuCell&) = delete;
  RcuCell& operator=(const RcuCell&) = delete;

  /// Returns the current value, which stays alive while it is held.
  Pointer Load() const
  {
    detail::RcuReadLock();
    Pointer copy = *static_cast<Pointer*>(detail::RcuLoad(&mSlot));
    detail::RcuReadUnlock(this);
    return copy;
  }

  /// Replaces the value.
  void Store(Pointer aNext)
  {
    auto* fresh = new Pointer(std::move(aNext));
    std::lock_guard<std::mutex> lock(mWriters);
    auto* old = static_cast<Pointer*>(detail::RcuExchange(&mSlot, fresh));
    detail::RcuSynchronize(this);
    delete old;
  }

private:
  // Points to a Pointer at all times; a replaced one is freed only after every
  // reader that could have seen it has left its critical section.
  void* mSlot;
  std::mutex mWriters;
};

} // namespace magnoliatide

#endif
