// Tests of the daemon's settings: flags, environment variables and checks.
#include <gtest/gtest.h>

#include <cstdlib>
#include <string>
#include <vector>

#include "lt/base/error.h"
#include "lt/node/settings.h"

static std::string
load (std::vector<std::string> args, int *error, lt_settings_t *settings)
{
  // The settings point into the arguments, which must outlive this call.
  static std::vector<std::string> held;
  std::vector<char *> argv;
  args.insert (args.begin (), "lavendertrackd");
  held = args;
  for (std::string &a : held)
    argv.push_back (a.data ());
  argv.push_back (nullptr);
  lt_findings_t findings = {};
  lt_settings_init (settings);
  *error = lt_settings_load (settings, static_cast<int> (held.size ()),
                             argv.data (), &findings);
  lt_buf_t out = {};
  lt_findings_print (&findings, &out);
  std::string text (out.data == nullptr ? "" : out.data, out.len);
  lt_buf_destroy (&out);
  lt_findings_destroy (&findings);
  return text;
}

class Settings : public testing::Test
{
protected:
  void
  SetUp () override
  {
    setenv ("LAVENDERTRACK_OPERATOR_KEY", "operator-key-0123456789", 1);
    setenv ("LAVENDERTRACK_KEY_HASH_SECRET", "hash-secret-0123456789", 1);
  }

  void
  TearDown () override
  {
    for (const char *name : { "OPERATOR_KEY", "KEY_HASH_SECRET", "VM_ID",
                              "PEER_SECRET", "LOG_LEVEL" })
      unsetenv ((std::string ("LAVENDERTRACK_") + name).c_str ());
  }

  lt_settings_t settings = {};
  int error = 0;
};

// Guards against an invalid setting that is accepted, and against reporting
// only one of several errors.
TEST_F (Settings, ReportsAllErrorsTogether)
{
  struct
  {
    std::vector<std::string> args;
    std::vector<const char *> findings;
  } cases[] = {
    { { "--listen=nowhere", "--drain-grace-ms=-1", "--log-level=loud" },
      { "--listen: error: \"nowhere\": expected ip:port",
        "--drain-grace-ms: error: \"-1\": expected an integer",
        "--log-level: error: \"loud\"" } },
    { { "--vm-id=" }, { "--vm-id: error: expected a value" } },
    { { "--platform=disk" }, { "expected memory, http or host" } },
    { { "--platform=http" },
      { "--table-url and --object-url", "ACCESS_KEY" } },
    { { "--peer-listen=127.0.0.1:1" }, { "LAVENDERTRACK_PEER_SECRET" } },
    { { "--seeds=127.0.0.1:1,x" }, { "--seeds: error: \"x\"" } },
    { { "stray" }, { "expected no arguments" } },
  };
  for (const auto &c : cases)
    {
      std::string text = load (c.args, &error, &settings);
      EXPECT_EQ (-LT_EFINDINGS, error) << c.args[0];
      for (const char *finding : c.findings)
        EXPECT_NE (std::string::npos, text.find (finding)) << text;
    }
}

// Guards against accepting a missing or short secret, and against printing a
// secret in a message.
TEST_F (Settings, RequiresSecretsAndNeverPrintsThem)
{
  setenv ("LAVENDERTRACK_OPERATOR_KEY", "short-secret", 1);
  unsetenv ("LAVENDERTRACK_KEY_HASH_SECRET");
  std::string text = load ({}, &error, &settings);
  EXPECT_EQ (-LT_EFINDINGS, error);
  EXPECT_NE (std::string::npos,
             text.find ("LAVENDERTRACK_OPERATOR_KEY: error: expected at least "
                        "16 bytes"));
  EXPECT_NE (std::string::npos, text.find ("LAVENDERTRACK_KEY_HASH_SECRET"));
  EXPECT_EQ (std::string::npos, text.find ("short-secret"));
}

// Guards against a variable taking precedence over its flag.
TEST_F (Settings, FlagsTakePrecedenceOverTheEnvironment)
{
  setenv ("LAVENDERTRACK_VM_ID", "from-environment", 1);
  EXPECT_EQ ("", load ({}, &error, &settings));
  EXPECT_TRUE (str_equal (STR_LIT ("from-environment"), settings.vm_id));
  EXPECT_EQ ("", load ({ "--vm-id=from-flag" }, &error, &settings));
  EXPECT_TRUE (str_equal (STR_LIT ("from-flag"), settings.vm_id));
  EXPECT_TRUE (str_equal (settings.region, settings.store_region));
}
