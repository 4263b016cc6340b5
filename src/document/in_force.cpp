// The rule by which documents replace each other.
#include "magnoliatide/document/in_force.h"

namespace magnoliatide::document {

const char*
Name(OfferResult aResult)
{
  switch (aResult) {
    case OfferResult::kAccepted:
      return "accepted";
    case OfferResult::kSame:
      return "same";
    case OfferResult::kOlder:
      return "older";
    case OfferResult::kInvalid:
      return "invalid";
    case OfferResult::kForeign:
      return "foreign";
    case OfferResult::kRaceWon:
      return "race-won";
    case OfferResult::kRaceLost:
      return "race-lost";
  }
  return "unknown";
}

bool
Supersedes(std::uint64_t aGeneration,
           const std::string& aDigest,
           std::uint64_t aOverGeneration,
           const std::string& aOverDigest)
{
  if (aGeneration != aOverGeneration) {
    return aGeneration > aOverGeneration;
  }
  return aDigest > aOverDigest;
}

InForce::InForce(std::string aEnvironment)
  : mEnvironment(std::move(aEnvironment))
{
}

OfferResult
InForce::Offer(const std::string& aSource,
               const std::string& aText,
               std::vector<Fault>& aFaults)
{
  aFaults.clear();
  if (mCurrent && aText == mCurrent->text) {
    return OfferResult::kSame;
  }
  auto document =
    ValueOrFaults([&] { return ParseDocument(aSource, aText); }, aFaults);
  if (!aFaults.empty()) {
    return OfferResult::kInvalid;
  }
  if (document.environment != mEnvironment) {
    return OfferResult::kForeign;
  }
  const auto generation = document.generation;
  const bool first = mCurrent == nullptr;
  const bool race = !first && generation == mCurrent->generation;
  const bool wins = first || Supersedes(generation,
                                        document.digest,
                                        mCurrent->generation,
                                        mCurrent->digest);
  if (!wins) {
    return race ? OfferResult::kRaceLost : OfferResult::kOlder;
  }
  mCurrent = std::make_shared<const Document>(std::move(document));
  return race ? OfferResult::kRaceWon : OfferResult::kAccepted;
}

} // namespace magnoliatide::document
