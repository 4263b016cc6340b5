// Tests of the parsing, comparison and promotion of documents.
#include "magnoliatide/document/document.h"

#include "magnoliatide/core/digest.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace magnoliatide::document {
namespace {

const std::string kValid = "[environment]\n"
                           "name = trial\n"
                           "generation = 3\n"
                           "[tiers]\n"
                           "names = urgent, idle\n"
                           "[vms]\n"
                           "slots = a/1, b/1\n"
                           "[team planners]\n"
                           "token-digest = " +
                           Sha256Hex("secret") +
                           "\n"
                           "[service language]\n"
                           "type = model\n"
                           "[service ledger]\n"
                           "type = plain\n"
                           "idempotent = GET /stock, GET /orders/*\n"
                           "[kind quotes]\n"
                           "service = language\n"
                           "tier = urgent\n"
                           "teams = planners\n"
                           "[engine e1]\n"
                           "service = language\n"
                           "address = 127.0.0.1:9000\n"
                           "zone = a\n"
                           "models = small\n";

std::vector<Fault>
FaultsOf(const std::string& aText)
{
  std::vector<Fault> faults;
  ValueOrFaults([&] { return ParseDocument("d.ini", aText); }, faults);
  return faults;
}

Document
Parsed(const std::string& aText)
{
  std::vector<Fault> faults;
  auto document =
    ValueOrFaults([&] { return ParseDocument("d.ini", aText); }, faults);
  EXPECT_TRUE(faults.empty()) << Describe(faults.front());
  return document;
}

TEST(Document, ParsesAValidText)
{
  const auto document = Parsed(kValid);
  EXPECT_EQ(document.environment, "trial");
  EXPECT_EQ(document.generation, 3u);
  EXPECT_EQ(document.kinds.at(0).tier, 0);
  EXPECT_EQ(document.teamByToken.count(Sha256Hex("secret")), 1u);
  EXPECT_EQ(document.backends.at(0).address.port, 9000);
}

TEST(Document, ReportsEveryFaultWithLineAndRemedy)
{
  auto text = kValid;
  text += "[kind letters]\nservice = nowhere\ntier = middling\nteams = ghosts\n"
          "[engine e2]\nservice = language\naddress = here\nzone = a\n"
          "colour = red\n[surprise]\nx = 1\n";
  const auto faults = FaultsOf(text);
  ASSERT_EQ(faults.size(), 6u);
  for (const auto& fault : faults) {
    EXPECT_GT(fault.line, 0) << Describe(fault);
    EXPECT_FALSE(fault.remedy.empty()) << Describe(fault);
  }
}

TEST(Document, RefusesTextThatIsNotIni)
{
  ASSERT_EQ(FaultsOf("[environment\nname trial\n").size(), 1u);
  EXPECT_EQ(FaultsOf("[environment\nname trial\n")[0].kind, FaultKind::kSyntax);
}

TEST(Document, RefusesTwoTeamsWithOneToken)
{
  const auto faults = FaultsOf(
    kValid + "[team others]\ntoken-digest = " + Sha256Hex("secret") + "\n");
  ASSERT_EQ(faults.size(), 1u);
  EXPECT_EQ(faults[0].kind, FaultKind::kConflict);
}

TEST(Document, MatchesIdempotentCallsByPathAndPrefix)
{
  const auto document = Parsed(kValid);
  const auto* ledger = document.FindService("ledger");
  EXPECT_TRUE(ledger->IsIdempotent("GET", "/stock"));
  EXPECT_TRUE(ledger->IsIdempotent("GET", "/stock?paper=1"));
  EXPECT_TRUE(ledger->IsIdempotent("GET", "/orders/7"));
  EXPECT_FALSE(ledger->IsIdempotent("POST", "/stock"));
  EXPECT_FALSE(ledger->IsIdempotent("GET", "/stocks"));
}

TEST(Document, PromotionChangesOnlyTheEnvironmentSection)
{
  const auto trial = Parsed(kValid);
  const auto production = Parsed(PromotedText(trial, "production", 9));
  EXPECT_EQ(production.environment, "production");
  EXPECT_EQ(production.generation, 9u);
  EXPECT_EQ(production.origin, "trial:3:" + trial.digest);
  const auto lines = Difference(trial, production);
  for (const auto& line : lines) {
    EXPECT_NE(line.find("environment"), std::string::npos) << line;
  }
}

RC_GTEST_PROP(Document, NeverAcceptsATruncatedTextAsAnotherDocument, ())
{
  const auto size = *rc::gen::inRange<std::size_t>(0, kValid.size());
  const auto truncated = kValid.substr(0, size);
  std::vector<Fault> faults;
  const auto document =
    ValueOrFaults([&] { return ParseDocument("d.ini", truncated); }, faults);
  if (faults.empty()) {
    RC_ASSERT(document.environment == "trial");
    RC_ASSERT(document.generation == 3u);
    RC_ASSERT(document.digest == Sha256Hex(truncated));
  }
}

} // namespace
} // namespace magnoliatide::document
