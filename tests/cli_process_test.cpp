// Guards against operators' commands that report a wrong state or exit status.
// The commands run against the VMs of a fleet.
#include "support.h"

#include "magnoliatide/document/settings.h"

#include <gtest/gtest.h>

#include <fstream>

namespace magnoliatide::tests {
namespace {

struct CommandResult
{
  int status = -1; ///< Exit code; see cli::ExitCode.
  std::string output;
};

class Cli : public testing::Test
{
protected:
  Cli()
    : mFleet(SmallFleet("cli"))
  {
  }

  void SetUp() override
  {
    ASSERT_TRUE(mFleet.Start());
    Write("token", load::kAdminToken);
    Write("trial.ini", mFleet.DocumentText(1));
    for (const auto& vm : mFleet.Vms()) {
      mVms += (mVms.empty() ? "" : ",") + document::Format(vm.admin);
    }
  }

  std::string Path(const std::string& aName) const
  {
    return mFleet.Options().folder + "/" + aName;
  }

  void Write(const std::string& aName, const std::string& aText) const
  {
    std::ofstream(Path(aName)) << aText;
  }

  /// Runs a command with the addresses of the VMs and the operator token.
  CommandResult Run(std::vector<std::string> aArguments)
  {
    const auto file = Path("output" + std::to_string(++mRuns));
    aArguments.insert(aArguments.begin(),
                      mFleet.Options().binaries + "/src/magnoliatide");
    aArguments.push_back("--vms=" + mVms);
    aArguments.push_back("--token_file=" + Path("token"));
    load::Process process(aArguments, file);
    process.Wait(Seconds(20));
    std::vector<Fault> faults;
    return { process.ExitStatus(),
             ValueOrFaults([&] { return document::ReadFile(file); }, faults) };
  }

  load::Fleet mFleet;
  std::string mVms;
  int mRuns = 0;
};

TEST_F(Cli, StatusShowsEveryVm)
{
  const auto result = Run({ "status" });
  EXPECT_EQ(result.status, 0) << result.output;
  for (const auto& vm : mFleet.Vms()) {
    EXPECT_NE(result.output.find(vm.name), std::string::npos) << result.output;
  }
}

TEST_F(Cli, AuditIsMergedAndUnbroken)
{
  const auto result = Run({ "audit" });
  EXPECT_EQ(result.status, 0) << result.output;
  EXPECT_NE(result.output.find("accepted from"), std::string::npos);
  // Printed if a record of the audit trail is missing or changed.
  EXPECT_EQ(result.output.find("broken"), std::string::npos);
}

TEST_F(Cli, PromotionNeedsTheDocumentInForce)
{
  const auto good = Run(
    { "promote", Path("trial.ini"), "--target=production", "--generation=5" });
  EXPECT_EQ(good.status, 0) << good.output;
  EXPECT_NE(good.output.find("name = production\ngeneration = 5\norigin = "
                             "trial:1:"),
            std::string::npos)
    << good.output.substr(0, 300);
  Write("other.ini", mFleet.DocumentText(2));
  const auto bad = Run(
    { "promote", Path("other.ini"), "--target=production", "--generation=5" });
  EXPECT_EQ(bad.status, 4) << bad.output;
}

TEST_F(Cli, AWrongTokenIsRefused)
{
  Write("token", "guess");
  EXPECT_EQ(Run({ "status" }).status, 3);
}

TEST_F(Cli, CheckNamesEveryFault)
{
  Write("broken.ini", "[environment]\nname = x\n[surprise]\na = 1\n");
  const auto result = Run({ "check", Path("broken.ini") });
  EXPECT_EQ(result.status, 1);
  EXPECT_NE(result.output.find("environment / generation"), std::string::npos);
  EXPECT_NE(result.output.find("surprise"), std::string::npos);
  EXPECT_NE(result.output.find("vms"), std::string::npos);
}

} // namespace
} // namespace magnoliatide::tests
