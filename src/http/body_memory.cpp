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

} // namespace

struct BodyMemory::Share
{
  boost::asio::any_io_executor executor;
  /// Used on the executor only. Empty once the read has ended.
  std::function<void()> giveWay;

  // The mutex of Shares guards these.
  std::size_t bytes = 0;
  TimePoint since{}; ///< When the share was first enlarged.
  bool isComplete = false;
  bool gaveWay = false;
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
    if (mShares.insert(aShare).second) {
      aShare->since = now;
    }
    const auto more = aBytes - aShare->bytes;
    if (mBytes + more <= kMaxBytes) {
      mBytes += more;
      aShare->bytes = aBytes;
      return MemoryGrant::kGranted;
    }
    while (mBytes - mLeavingBytes + more > kMaxBytes) {
      const auto selected = Select(*aShare, aBytes, now);
      selected->gaveWay = true;
      mLeavingBytes += selected->bytes;
      if (selected == aShare) {
        return MemoryGrant::kDenied;
      }
      aLeaving.push_back(selected);
    }
    return MemoryGrant::kLater;
  }

  /// Returns the share that gives way: the one that has used most memory for
  /// most time. The size alone would displace a body that arrives quickly, and
  /// the time alone one that is small.
  ///
  /// @param aAsking The share that is to be enlarged to aBytes.
  std::shared_ptr<Share> Select(const Share& aAsking,
                                std::size_t aBytes,
                                TimePoint aNow) const
  {
    const auto cost = [&](const Share& aShare) {
      const auto bytes = &aShare == &aAsking ? aBytes : aShare.bytes;
      const double use =
        static_cast<double>(bytes) * ToSeconds(aNow - aShare.since);
      return std::pair(bytes > kSmallShareBytes, use);
    };
    std::shared_ptr<Share> selected;
    for (const auto& share : mShares) {
      if (share->isComplete || share->gaveWay) {
        continue;
      }
      if (!selected || cost(*selected) < cost(*share)) {
        selected = share;
      }
    }
    return selected;
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
BodyMemory::Clear()
{
  if (mShare) {
    mShare->giveWay = nullptr;
    AllShares().Remove(mShare);
    mShare.reset();
  }
}

} // namespace magnoliatide::http
