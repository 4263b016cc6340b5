// Guards against settings of the command line that are lost, end up in another
// section, or make a file invalid because the deployment has no value for them.
#include "settings_overrides.h"

#include <gtest/gtest.h>

namespace magnoliatide::cli {
namespace {

TEST(SettingsOverrides, AreAddedToTheirSections)
{
  const std::string text = "[vm]\nslot = a/b\n[bounds]\nrelay = 1ms\n";
  EXPECT_EQ(AddSettings(text, "vm/max-files=300,bounds/cold-slack=5"),
            "[vm]\nmax-files=300\nslot = a/b\n"
            "[bounds]\ncold-slack=5\nrelay = 1ms\n");
  EXPECT_EQ(AddSettings("[vm]\n", "bounds/cold-slack=5"),
            "[vm]\n\n[bounds]\ncold-slack=5\n");
}

TEST(SettingsOverrides, WithoutAValueAreIgnored)
{
  const std::string text = "[vm]\nslot = a/b\n";
  EXPECT_EQ(AddSettings(text, "bounds/cold-slack=,bounds/cold-overage="), text);
  EXPECT_EQ(AddSettings(text, ""), text);
}

} // namespace
} // namespace magnoliatide::cli
