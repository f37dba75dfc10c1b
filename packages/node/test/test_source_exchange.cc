// The source controller with a registry, other VMs and a clock of the test:
// configurations that other VMs have in force.  Guards against VMs that follow
// a registry which shows an older configuration than the fleet has in force,
// and against configurations that are sent for nothing or applied in part.
#include "source_fixture.h"

namespace
{

class SourceExchange : public SourceFixture
{
protected:
  // Makes the registry decode NAME as the configuration with VERSION.
  void
  encode (const std::string &name, int64_t version)
  {
    later = deployment;
    later.version = version;
    lt_registry_record_t record = {};
    record.name = STR_LIT ("config");
    record.version = 1;
    record.deployment = &later;
    record.encoded = str_from ("later");
    registry.encoded[name] = record;
  }

  void
  receive_get (const char *from, int64_t version, int64_t offset = 0)
  {
    lt_wire_snapshot_get_t get = { version, offset };
    lt_buf_t payload = {};
    lt_wire_snapshot_get_encode (&get, &payload);
    receive (from, LT_MESSAGE_SNAPSHOT_GET, payload);
    lt_buf_destroy (&payload);
  }

  void
  receive_data (const char *from, int64_t version, const std::string &bytes,
                size_t offset = 0, size_t total = 0)
  {
    lt_wire_snapshot_data_t data
        = { version, (int64_t)offset,
            (int64_t)(total == 0 ? bytes.size () : total),
            str_make (bytes.data (), bytes.size ()) };
    lt_buf_t payload = {};
    lt_wire_snapshot_data_encode (&data, &payload);
    receive (from, LT_MESSAGE_SNAPSHOT_DATA, payload);
    lt_buf_destroy (&payload);
  }

  // Takes the last message sent, which must be a request for a configuration.
  void
  take_get (const char *to, lt_wire_snapshot_get_t *get)
  {
    ASSERT_FALSE (peers.sent.empty ());
    const Sent &sent = peers.sent.back ();
    ASSERT_EQ (LT_MESSAGE_SNAPSHOT_GET, sent.type);
    ASSERT_EQ (to, sent.to);
    ASSERT_EQ (
        0, lt_wire_snapshot_get_decode (
               str_make (sent.payload.data (), sent.payload.size ()), get));
  }

  int64_t
  version () const
  {
    return node.config->snapshot->source_version;
  }

  lt_deployment_t later = {};
};

} // namespace

TEST_F (SourceExchange, AsksAFewTimesAfterTheStart)
{
  read_all ();
  follow (1000);
  size_t asked = sent_count (LT_MESSAGE_SNAPSHOT_GET);
  EXPECT_GE (asked, 2u);
  follow (20000);
  EXPECT_LE (sent_count (LT_MESSAGE_SNAPSHOT_GET), 4u);
}

TEST_F (SourceExchange, AsksAgainAfterTheRegistryWasRestored)
{
  read_all ();
  follow (5000);
  lt_source_controller_note_era (&node, 1);
  peers.sent.clear ();
  lt_source_controller_note_era (&node, 2);
  pass (8000);
  EXPECT_GE (sent_count (LT_MESSAGE_SNAPSHOT_GET), 10u);
}

// Before it has a configuration a VM does not ask for a later one.
TEST_F (SourceExchange, DoesNotAskBeforeItHasAConfiguration)
{
  follow (3000);
  EXPECT_EQ (0u, sent_count (LT_MESSAGE_SNAPSHOT_GET));
}

TEST_F (SourceExchange, GivesALaterConfigurationOnly)
{
  read_all ();
  follow (5000);
  peers.sent.clear ();
  receive_get ("vm-1", 7);
  EXPECT_TRUE (peers.sent.empty ());
  receive_get ("vm-3", 6);
  ASSERT_EQ (1u, peers.sent.size ());
  EXPECT_EQ ("vm-3", peers.sent[0].to);
  lt_wire_snapshot_data_t data;
  ASSERT_EQ (LT_MESSAGE_SNAPSHOT_DATA, peers.sent[0].type);
  ASSERT_EQ (0, lt_wire_snapshot_data_decode (
                    str_make (peers.sent[0].payload.data (),
                              peers.sent[0].payload.size ()),
                    &data));
  EXPECT_EQ (7, data.version);
  EXPECT_TRUE (str_equal (STR_LIT ("version 7"), data.bytes));
}

// Who asks with a later version is asked in return.
TEST_F (SourceExchange, TakesALaterConfiguration)
{
  read_all ();
  encode ("version 9", 9);
  receive_get ("vm-3", 9);
  lt_wire_snapshot_get_t get = {};
  take_get ("vm-3", &get);
  EXPECT_EQ (7, get.version);
  receive_data ("vm-3", 9, "version 9");
  EXPECT_EQ (9, version ());
  EXPECT_TRUE (has_upstream ("u-1"));
  // The registry still shows the older one.
  lt_registry_record_t config = {};
  config.name = STR_LIT ("config");
  config.version = 60;
  config.deployment = &deployment;
  pass (2000);
  respond (LT_REGISTRY_CONFIG, 110, { config });
  EXPECT_EQ (9, version ());
}

TEST_F (SourceExchange, NeverTakesAnEarlierOrUnreadableOne)
{
  read_all ();
  encode ("version 6", 6);
  receive_data ("vm-1", 6, "version 6");
  receive_data ("vm-1", 9, "no configuration");
  encode ("says 9 but is 7", 7);
  receive_data ("vm-1", 9, "says 9 but is 7");
  EXPECT_EQ (7, version ());
}

// One that arrives in pieces is applied as a whole, and when its sender stops
// in between, another VM can give it.
TEST_F (SourceExchange, PiecesAreJoined)
{
  read_all ();
  encode ("version 9", 9);
  receive_data ("vm-1", 9, "vers", 0, 9);
  lt_wire_snapshot_get_t get = {};
  take_get ("vm-1", &get);
  EXPECT_EQ (4, get.offset_bytes);
  receive_data ("vm-3", 9, "version 9"); // A fetch is in progress.
  EXPECT_EQ (7, version ());
  pass (1500);
  receive_data ("vm-3", 9, "version 9");
  EXPECT_EQ (9, version ());
}

// A VM that reads for the domain has a later one: it is fetched, unless this
// VM knows of changes of the registry that it is about to read.
TEST_F (SourceExchange, ReportsOfALaterConfigurationAreFollowed)
{
  read_all ();
  follow (5000);
  peers.sent.clear ();
  receive_report ("vm-1", 100, 100, true, 0, 9);
  lt_wire_snapshot_get_t get = {};
  take_get ("vm-1", &get);
  EXPECT_EQ (7, get.version);
}

TEST_F (SourceExchange, ChangesOfTheRegistryAreNotFetchedFromVms)
{
  read_all ();
  follow (5000);
  peers.sent.clear ();
  lt_wire_registry_report_t report = {};
  report.sent_us = clock.now_us;
  report.serving = true;
  report.outage_age_us = -1;
  report.config_version = 9;
  for (lt_wire_registry_part_t &part : report.parts)
    part = { 120, 120, clock.now_us };
  lt_buf_t payload = {};
  lt_wire_registry_report_encode (&report, &payload);
  receive ("vm-1", LT_MESSAGE_REGISTRY_REPORT, payload);
  lt_buf_destroy (&payload);
  EXPECT_TRUE (peers.sent.empty ());
  pass (300);
  EXPECT_EQ (2u, registry.calls.size ());
}

// Reports of VMs of earlier versions lack the version of the configuration.
TEST_F (SourceExchange, ReportsOfEarlierVersionsAreRead)
{
  lt_wire_registry_report_t report = {};
  report.sent_us = 5;
  report.outage_age_us = -1;
  lt_buf_t payload = {};
  lt_wire_registry_report_encode (&report, &payload);
  std::string text (payload.data, payload.len);
  lt_buf_destroy (&payload);
  ASSERT_EQ ('\x9b', text[0]); // An array of 11 elements.
  text[0] = '\x9a';
  text.pop_back ();
  lt_wire_registry_report_t read = {};
  read.config_version = 1;
  EXPECT_EQ (0, lt_wire_registry_report_decode (
                    str_make (text.data (), text.size ()), &read));
  EXPECT_EQ (5, read.sent_us);
  EXPECT_EQ (0, read.config_version);
}
