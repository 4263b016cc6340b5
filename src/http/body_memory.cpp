// Accounts the memory of bodies and selects those that give way.
#include "magnoliatide/http/body_memory.h"

#include "magnoliatide/core/time.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <mutex>
#include <set>
#include <utility>
#include <vector>

namespace magnoliatide::http {

namespace {

/// For all bodies together, beyond kUncountedBytes each.
constexpr std::size_t kMaxBytes = 32 * 1024 * 1024;
constexpr std::size_t kUncountedBytes = 16 * 1024;
/// A share up to this size gives way only if there is no larger one.
constexpr std::size_t kSmallShareBytes = 64 * 1024;
/// Growth that counts as progress, or the quarter of a smaller share. A byte
/// now and then is none.
constexpr std::size_t kProgressBytes = 64 * 1024;
/// Added to the time since the last progress, so that of shares that have just
/// grown the largest gives way.
constexpr Duration kMinStall = Milliseconds(20);
/// A complete body may give way if its caller has taken nothing for this time.
constexpr Duration kDeliveryStall = Milliseconds(500);

} // namespace

struct BodyMemory::Share
{
  boost::asio::any_io_executor executor;
  /// Used on the executor only. Empty unless a read or a delivery is in
  /// progress.
  std::function<void()> giveWay;

  // The mutex of Shares guards these.
  std::size_t bytes = 0;
  std::size_t progressBytes = 0; ///< The size at progressAt.
  TimePoint progressAt{};        ///< Last growth or delivery that counts.
  bool isComplete = false;
  bool isDelivered = false; ///< A caller is being sent it. Implies isComplete.
  bool gaveWay = false;

  /// Returns whether a size is a progress since the last one.
  bool IsProgress(std::size_t aBytes) const
  {
    return aBytes >=
           progressBytes + std::min(kProgressBytes, progressBytes / 4);
  }
};

class BodyMemory::Shares
{
public:
  MemoryGrant Enlarge(const std::shared_ptr<Share>& aShare, std::size_t aBytes)
  {
    std::vector<std::shared_ptr<Share>> leaving;
    const auto grant = EnlargeOrSelect(aShare, aBytes, leaving);
    for (auto& share : leaving) {
      const auto executor = share->executor;
      boost::asio::post(executor, [share = std::move(share)] {
        if (share->giveWay) {
          share->giveWay();
        }
      });
    }
    return grant;
  }

  /// Marks a body as complete unless it has given way.
  bool Complete(Share& aShare)
  {
    std::lock_guard<std::mutex> lock(mMutex);
    aShare.isComplete = !aShare.gaveWay;
    return aShare.isComplete;
  }

  /// Records that the delivery of a body begins, or that its caller has taken a
  /// part of it.
  void RecordDelivery(Share& aShare)
  {
    std::lock_guard<std::mutex> lock(mMutex);
    aShare.isDelivered = aShare.isComplete;
    aShare.progressAt = Clock::now();
  }

  void EndDelivery(Share& aShare)
  {
    std::lock_guard<std::mutex> lock(mMutex);
    aShare.isDelivered = false;
  }

  void Remove(const std::shared_ptr<Share>& aShare)
  {
    std::lock_guard<std::mutex> lock(mMutex);
    if (mShares.erase(aShare) > 0) {
      mBytes -= aShare->bytes;
      mLeavingBytes -= aShare->gaveWay ? aShare->bytes : 0;
    }
  }

private:
  /// Enlarges a share, or adds the shares that must give way to aLeaving.
  MemoryGrant EnlargeOrSelect(const std::shared_ptr<Share>& aShare,
                              std::size_t aBytes,
                              std::vector<std::shared_ptr<Share>>& aLeaving)
  {
    std::lock_guard<std::mutex> lock(mMutex);
    if (aShare->gaveWay) {
      return MemoryGrant::kDenied;
    }
    if (aBytes <= aShare->bytes) {
      return MemoryGrant::kGranted;
    }
    const auto now = Clock::now();
    mShares.insert(aShare);
    const bool progress = aShare->IsProgress(aBytes);
    const auto more = aBytes - aShare->bytes;
    if (mBytes + more <= kMaxBytes) {
      mBytes += more;
      aShare->bytes = aBytes;
      if (progress) {
        aShare->progressBytes = aBytes;
        aShare->progressAt = now;
      }
      return MemoryGrant::kGranted;
    }
    const Request request{ aShare.get(), aBytes, progress };
    while (mBytes - mLeavingBytes + more > kMaxBytes) {
      const auto selected = Select(request, now);
      if (selected == aShare && AnyDelivered()) {
        return MemoryGrant::kLater;
      }
      selected->gaveWay = true;
      mLeavingBytes += selected->bytes;
      if (selected == aShare) {
        return MemoryGrant::kDenied;
      }
      aLeaving.push_back(selected);
    }
    return MemoryGrant::kLater;
  }

  /// A share that is to be enlarged.
  struct Request
  {
    const Share* share = nullptr;
    std::size_t bytes = 0;
    bool progress = false; ///< As Share::IsProgress().
  };

  static bool MayGiveWay(const Share& aShare, TimePoint aNow)
  {
    if (aShare.gaveWay) {
      return false;
    }
    return !aShare.isComplete ||
           (aShare.isDelivered && aNow - aShare.progressAt >= kDeliveryStall);
  }

  /// Returns the share that gives way: the one with the largest product of its
  /// size and the time since its last progress. The size alone would displace a
  /// body that arrives quickly, and the time alone one that is small.
  std::shared_ptr<Share> Select(const Request& aRequest, TimePoint aNow) const
  {
    const auto cost = [&](const Share& aShare) {
      const bool asking = &aShare == aRequest.share;
      const auto bytes = asking ? aRequest.bytes : aShare.bytes;
      const Duration stall =
        asking && aRequest.progress ? Duration() : aNow - aShare.progressAt;
      return std::pair(bytes > kSmallShareBytes,
                       static_cast<double>(bytes) *
                         ToSeconds(stall + kMinStall));
    };
    std::shared_ptr<Share> selected;
    for (const auto& share : mShares) {
      if (!MayGiveWay(*share, aNow)) {
        continue;
      }
      if (!selected || cost(*selected) < cost(*share)) {
        selected = share;
      }
    }
    return selected;
  }

  /// Returns whether memory becomes free once callers have taken their answers,
  /// or have stalled for long enough.
  bool AnyDelivered() const
  {
    return std::any_of(mShares.begin(), mShares.end(), [](const auto& aShare) {
      return aShare->isDelivered && !aShare->gaveWay;
    });
  }

  std::mutex mMutex;
  std::set<std::shared_ptr<Share>> mShares;
  std::size_t mBytes = 0;        ///< Of all shares; at most kMaxBytes.
  std::size_t mLeavingBytes = 0; ///< Of shares that have given way.
};

BodyMemory::Shares&
BodyMemory::AllShares()
{
  // Not destroyed, since bodies may outlive static objects.
  static auto* const shares = new Shares();
  return *shares;
}

BodyMemory::~BodyMemory()
{
  Clear();
}

BodyMemory::BodyMemory(BodyMemory&& aOther) noexcept
  : mShare(std::exchange(aOther.mShare, nullptr))
{
}

BodyMemory&
BodyMemory::operator=(BodyMemory&& aOther) noexcept
{
  if (this != &aOther) {
    Clear();
    mShare = std::exchange(aOther.mShare, nullptr);
  }
  return *this;
}

void
BodyMemory::Begin(boost::asio::any_io_executor aExecutor,
                  std::function<void()> aGiveWay)
{
  Clear();
  mShare = std::make_shared<Share>();
  mShare->executor = std::move(aExecutor);
  mShare->giveWay = std::move(aGiveWay);
}

MemoryGrant
BodyMemory::Enlarge(std::size_t aBodyBytes)
{
  if (aBodyBytes <= kUncountedBytes) {
    return MemoryGrant::kGranted;
  }
  return AllShares().Enlarge(mShare, aBodyBytes - kUncountedBytes);
}

bool
BodyMemory::End()
{
  mShare->giveWay = nullptr;
  return AllShares().Complete(*mShare);
}

void
BodyMemory::BeginDelivery(std::function<void()> aGiveWay)
{
  if (mShare) {
    mShare->giveWay = std::move(aGiveWay);
    AllShares().RecordDelivery(*mShare);
  }
}

void
BodyMemory::RecordDelivery()
{
  if (mShare) {
    AllShares().RecordDelivery(*mShare);
  }
}

void
BodyMemory::EndDelivery()
{
  if (mShare) {
    mShare->giveWay = nullptr;
    AllShares().EndDelivery(*mShare);
  }
}

void
BodyMemory::Clear()
{
  if (mShare) {
    mShare->giveWay = nullptr;
    AllShares().Remove(mShare);
    mShare.reset();
  }
}

} // namespace magnoliatide::http
