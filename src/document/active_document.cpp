// Rules by which one document replaces another.
#include "magnoliatide/document/active_document.h"

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
           std::uint64_t aOtherGeneration,
           const std::string& aOtherDigest)
{
  if (aGeneration != aOtherGeneration) {
    return aGeneration > aOtherGeneration;
  }
  return aDigest > aOtherDigest;
}

ActiveDocument::ActiveDocument(std::string aEnvironment)
  : mEnvironment(std::move(aEnvironment))
{
}

OfferResult
ActiveDocument::Offer(const std::string& aSource,
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
  const bool sameGeneration = !first && generation == mCurrent->generation;
  const bool replaces = first || Supersedes(generation,
                                            document.digest,
                                            mCurrent->generation,
                                            mCurrent->digest);
  if (!replaces) {
    return sameGeneration ? OfferResult::kRaceLost : OfferResult::kOlder;
  }
  mCurrent = std::make_shared<const Document>(std::move(document));
  return sameGeneration ? OfferResult::kRaceWon : OfferResult::kAccepted;
}

} // namespace magnoliatide::document
