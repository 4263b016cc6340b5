// The guard of one VM.
#include "local_guard.h"

namespace magnoliatide::node {

namespace {

entry::KeyDecision
DecisionFor(const claims::Attempt& aAttempt, std::uint64_t aFingerprint)
{
  entry::KeyDecision decision;
  if (aAttempt.fingerprint != aFingerprint) {
    decision.verdict = entry::KeyVerdict::kOtherCall;
    return decision;
  }
  switch (aAttempt.state) {
    case claims::AttemptState::kAnswered:
      decision.verdict = entry::KeyVerdict::kRecorded;
      decision.recorded = { aAttempt.answer.status,
                            { { "Content-Type", aAttempt.answer.contentType } },
                            aAttempt.answer.body };
      break;
    case claims::AttemptState::kUnknown:
      decision.verdict = entry::KeyVerdict::kUnknown;
      break;
    default:
      decision.verdict = entry::KeyVerdict::kRunning;
      break;
  }
  return decision;
}

} // namespace

boost::asio::awaitable<entry::KeyDecision>
LocalGuard::Begin(std::string aKey, std::uint64_t aFingerprint, Duration)
{
  const auto now = Clock::now();
  const auto begun = mAttempts.Begin(aKey, aFingerprint, now);
  if (!begun) {
    const auto earlier = mAttempts.Find(aKey, now);
    co_return earlier ? DecisionFor(*earlier, aFingerprint)
                      : entry::KeyDecision{};
  }
  mAttempts.Own(*begun);
  entry::KeyDecision decision;
  decision.verdict = entry::KeyVerdict::kRun;
  decision.attempt = *begun;
  co_return decision;
}

bool
LocalGuard::MaySend(const std::string&, std::uint64_t aAttempt)
{
  return mAttempts.MaySend(aAttempt, Clock::now());
}

void
LocalGuard::End(const std::string&,
                std::uint64_t aAttempt,
                entry::KeyEnd aEnd,
                const http::Response& aAnswer)
{
  auto state = claims::AttemptState::kUnknown;
  claims::RecordedAnswer answer;
  if (aEnd == entry::KeyEnd::kNotRun) {
    state = claims::AttemptState::kNotRun;
  } else if (aEnd == entry::KeyEnd::kAnswered) {
    state = claims::AttemptState::kAnswered;
    answer = { aAnswer.status,
               std::string(http::Find(aAnswer.headers, "Content-Type")),
               aAnswer.body };
  }
  mAttempts.End(aAttempt, state, std::move(answer));
}

} // namespace magnoliatide::node
