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

/// For all bodies together, beyond kUncountedBytes each, unless a limit is set.
constexpr std::size_t kDefaultMaxBytes = 32 * 1024 * 1024;
constexpr std::size_t kUncountedBytes = 16 * 1024;
/// A share up to this size gives way only if there is no larger one.
constexpr std::size_t kSmallShareBytes = 64 * 1024;
/// A small share of a request that has not grown for this time counts as a
/// large one: many half-sent bodies must not take the place of others.
constexpr Duration kSmallShareStall = Seconds(1);
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

  BodyKind kind = BodyKind::kResponse;

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
      AddBytes(*aShare, -static_cast<std::int64_t>(aShare->bytes));
      const auto leaving = aShare->gaveWay ? aShare->bytes : 0;
      mLeavingBytes -= leaving;
      mLeavingRequestBytes -= aShare->kind == BodyKind::kRequest ? leaving : 0;
    }
  }

  void SetLimit(std::size_t aBytes)
  {
    std::lock_guard<std::mutex> lock(mMutex);
    mMaxBytes = aBytes;
    mMaxRequestBytes = aBytes / 4 * 3;
  }

  std::size_t UsedBytes()
  {
    std::lock_guard<std::mutex> lock(mMutex);
    return mBytes;
  }

  std::uint64_t Displaced()
  {
    std::lock_guard<std::mutex> lock(mMutex);
    return mDisplaced;
  }

private:
  void AddBytes(const Share& aShare, std::int64_t aBytes)
  {
    mBytes += static_cast<std::size_t>(aBytes);
    if (aShare.kind == BodyKind::kRequest) {
      mRequestBytes += static_cast<std::size_t>(aBytes);
    }
  }

  /// Returns whether a share may grow while some bytes are taken as free.
  bool Fits(const Share& aShare,
            std::size_t aMore,
            std::size_t aFree,
            std::size_t aFreeOfRequests) const
  {
    const bool fits = mBytes - aFree + aMore <= mMaxBytes;
    return fits &&
           (aShare.kind == BodyKind::kResponse ||
            mRequestBytes - aFreeOfRequests + aMore <= mMaxRequestBytes);
  }

  /// Enlarges a share, or adds the shares that must give way to aLeaving.
  MemoryGrant EnlargeOrSelect(const std::shared_ptr<Share>& aShare,
                              std::size_t aBytes,
                              std::vector<std::shared_ptr<Share>>& aLeaving)
  {
    std::lock_guard<std::mutex> lock(mMutex);
    if (aShare->gaveWay) {
      return MemoryGrant::kDenied;
    }
    const bool isRequest = aShare->kind == BodyKind::kRequest;
    const bool unlimited = isRequest && mMaxRequestBytes == 0;
    if (aBytes <= aShare->bytes || unlimited) {
      return MemoryGrant::kGranted;
    }
    if (isRequest && aBytes > mMaxRequestBytes) {
      mDisplaced += 1;
      aShare->gaveWay = true;
      mLeavingBytes += aShare->bytes;
      mLeavingRequestBytes += aShare->bytes;
      return MemoryGrant::kDenied;
    }
    const auto now = Clock::now();
    mShares.insert(aShare);
    const bool progress = aShare->IsProgress(aBytes);
    const auto more = aBytes - aShare->bytes;
    if (Fits(*aShare, more, 0, 0)) {
      AddBytes(*aShare, static_cast<std::int64_t>(more));
      aShare->bytes = aBytes;
      if (progress) {
        aShare->progressBytes = aBytes;
        aShare->progressAt = now;
      }
      return MemoryGrant::kGranted;
    }
    const Request request{ aShare.get(), aBytes, progress };
    while (!Fits(*aShare, more, mLeavingBytes, mLeavingRequestBytes)) {
      const auto selected = Select(request, now);
      if (selected == aShare && !isRequest && AnyDelivered()) {
        return MemoryGrant::kLater;
      }
      selected->gaveWay = true;
      mDisplaced += 1;
      mLeavingBytes += selected->bytes;
      mLeavingRequestBytes +=
        selected->kind == BodyKind::kRequest ? selected->bytes : 0;
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
      const bool stalled =
        aShare.kind == BodyKind::kRequest && stall > kSmallShareStall;
      return std::pair(bytes > kSmallShareBytes || stalled,
                       static_cast<double>(bytes) *
                         ToSeconds(stall + kMinStall));
    };
    // Requests that are being read give way before any response.
    for (const auto kind : { BodyKind::kRequest, BodyKind::kResponse }) {
      std::shared_ptr<Share> selected;
      for (const auto& share : mShares) {
        const bool larger = !selected || cost(*selected) < cost(*share);
        if (share->kind == kind && MayGiveWay(*share, aNow) && larger) {
          selected = share;
        }
      }
      if (selected) {
        return selected;
      }
    }
    return nullptr;
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
  std::size_t mMaxBytes = kDefaultMaxBytes;
  std::size_t mMaxRequestBytes = 0; ///< 0: requests are not counted.
  std::size_t mBytes = 0;           ///< Of all shares; at most mMaxBytes.
  std::size_t mRequestBytes = 0;    ///< Of requests; at most mMaxRequestBytes.
  std::size_t mLeavingBytes = 0;    ///< Of shares that have given way.
  std::size_t mLeavingRequestBytes = 0; ///< Of requests among them.
  std::uint64_t mDisplaced = 0;
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
                  std::function<void()> aGiveWay,
                  BodyKind aKind)
{
  Clear();
  mShare = std::make_shared<Share>();
  mShare->kind = aKind;
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

void
BodyMemory::SetLimit(std::size_t aBytes)
{
  AllShares().SetLimit(aBytes);
}

std::size_t
BodyMemory::UsedBytes()
{
  return AllShares().UsedBytes();
}

std::uint64_t
BodyMemory::Displaced()
{
  return AllShares().Displaced();
}

} // namespace magnoliatide::http
