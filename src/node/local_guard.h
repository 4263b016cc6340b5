// A key guard that knows the calls of this VM only.
#ifndef MAGNOLIATIDE_SRC_NODE_LOCAL_GUARD_H
#define MAGNOLIATIDE_SRC_NODE_LOCAL_GUARD_H

#include "magnoliatide/claims/attempts.h"
#include "magnoliatide/entry/key_guard.h"

namespace magnoliatide::node {

class LocalGuard : public entry::KeyGuard
{
public:
  boost::asio::awaitable<entry::KeyDecision> Begin(std::string aKey,
                                                   std::uint64_t aFingerprint,
                                                   Duration aBound) override;
  bool MaySend(const std::string& aKey, std::uint64_t aAttempt) override;
  void End(const std::string& aKey,
           std::uint64_t aAttempt,
           entry::KeyEnd aEnd,
           const http::Response& aAnswer) override;

private:
  claims::Attempts mAttempts{ std::chrono::hours(1) };
};

} // namespace magnoliatide::node

#endif
