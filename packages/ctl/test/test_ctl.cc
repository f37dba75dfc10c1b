// Guards the command line's contract: what each command sends, prints and
// exits with, as a golden transcript against a scripted admin server.
#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <microhttpd.h>
#include <sys/wait.h>

#include <cstdlib>
#include <cstring>
#include <fstream>
#include <mutex>
#include <sstream>
#include <string>
#include <vector>

// An answer of the fake server; status 0 closes the connection instead.
struct Answer
{
  int status;
  std::string body;
};

struct Call
{
  std::string body;
};

// Answers from a script; the last answer repeats.
class FakeAdmin
{
public:
  FakeAdmin ()
  {
    sockaddr_in address = {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
    daemon = MHD_start_daemon (MHD_USE_INTERNAL_POLLING_THREAD, 0, nullptr,
                               nullptr, on_access, this, MHD_OPTION_SOCK_ADDR,
                               &address, MHD_OPTION_NOTIFY_COMPLETED,
                               on_completed, nullptr, MHD_OPTION_END);
    port = MHD_get_daemon_info (daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
  }
  ~FakeAdmin () { MHD_stop_daemon (daemon); }

  void
  play (const std::vector<Answer> &answers)
  {
    std::lock_guard<std::mutex> guard (lock);
    script = answers;
    next = 0;
    requests.clear ();
  }
  std::string
  log ()
  {
    std::lock_guard<std::mutex> guard (lock);
    std::string text;
    for (size_t i = 0; i < requests.size (); i++)
      if (i == 0 || requests[i] != requests[i - 1])
        text += "sent " + requests[i] + "\n";
    return text;
  }
  uint16_t port = 0;

private:
  static MHD_Result
  on_access (void *cls, MHD_Connection *connection, const char *url,
             const char *method, const char *, const char *data, size_t *len,
             void **con_cls)
  {
    auto *self = static_cast<FakeAdmin *> (cls);
    auto *call = static_cast<Call *> (*con_cls);
    if (call == nullptr)
      {
        *con_cls = new Call;
        return MHD_YES;
      }
    if (*len > 0)
      {
        call->body.append (data, *len);
        *len = 0;
        return MHD_YES;
      }
    return self->answer (connection, std::string (method) + " " + url,
                         call->body);
  }
  static void
  on_completed (void *, MHD_Connection *, void **con_cls,
                MHD_RequestTerminationCode)
  {
    delete static_cast<Call *> (*con_cls);
    *con_cls = nullptr;
  }
  static MHD_Result
  add_query (void *cls, MHD_ValueKind, const char *name, const char *value)
  {
    auto *text = static_cast<std::string *> (cls);
    *text += std::string (text->empty () ? "?" : "&") + name + "="
             + (value == nullptr ? "" : value);
    return MHD_YES;
  }
  static std::string
  header (MHD_Connection *connection, const char *name)
  {
    const char *value
        = MHD_lookup_connection_value (connection, MHD_HEADER_KIND, name);
    return value == nullptr ? "" : value;
  }
  MHD_Result
  answer (MHD_Connection *connection, const std::string &line,
          const std::string &body)
  {
    std::lock_guard<std::mutex> guard (lock);
    std::string query;
    MHD_get_connection_values (connection, MHD_GET_ARGUMENT_KIND, add_query,
                               &query);
    std::string shown
        = body.size () > 80 ? std::to_string (body.size ()) + " bytes" : body;
    requests.push_back (line + query
                        + " author=" + header (connection, "X-Author")
                        + " auth=" + header (connection, "Authorization")
                        + (shown.empty () ? "" : " body=" + shown));
    const Answer &a
        = script[next < script.size () ? next++ : script.size () - 1];
    if (a.status == 0)
      return MHD_NO;
    MHD_Response *response = MHD_create_response_from_buffer (
        a.body.size (), (void *)a.body.data (), MHD_RESPMEM_MUST_COPY);
    MHD_Result result
        = MHD_queue_response (connection, (unsigned int)a.status, response);
    MHD_destroy_response (response);
    return result;
  }

  std::mutex lock;
  MHD_Daemon *daemon = nullptr;
  std::vector<Answer> script;
  size_t next = 0;
  std::vector<std::string> requests;
};

struct Outcome
{
  int status;
  std::string output;
};

static Outcome
run (const std::string &arguments, uint16_t port)
{
  std::string command
      = "cd " LT_SOURCE_DIR "/examples && env -i "
        "LAVENDERTRACK_OPERATOR_KEY=operator-key-1 LAVENDERTRACK_ADMIN="
        "127.0.0.1:"
        + std::to_string (port)
        + " USER=ana " LT_BINARY_DIR "/packages/ctl/lavenderctl " + arguments
        + " 2>&1 </dev/null";
  Outcome result = { -1, "" };
  FILE *pipe = popen (command.c_str (), "r");
  char chunk[4096];
  size_t got;
  while ((got = fread (chunk, 1, sizeof (chunk), pipe)) > 0)
    result.output.append (chunk, got);
  int ended = pclose (pipe);
  result.status = WIFEXITED (ended) ? WEXITSTATUS (ended) : -1;
  return result;
}

static std::string
read_file (const std::string &path)
{
  std::ifstream in (path, std::ios::binary);
  std::stringstream out;
  out << in.rdbuf ();
  return out.str ();
}

static void
replace_all (std::string &text, const std::string &from, const std::string &to)
{
  for (size_t at = 0; (at = text.find (from, at)) != std::string::npos;
       at += to.size ())
    text.replace (at, from.size (), to);
}

static const char DIFF[]
    = R"({"version":4,"changes":[{"op":"changed","kind":"workspace",)"
      R"("name":"demo","words":"burst 10 -> 100"}],"unlisted":0,)"
      R"("counts":{"workspace":{"before":1,"added":0,"removed":0,)"
      R"("changed":1}},"findings":[]})";
static const char SAME[]
    = R"({"version":5,"changes":[],"unlisted":0,"counts":{},"findings":[]})";
static const char OTHER[]
    = R"({"version":5,"changes":[{"op":"added","kind":"key","name":"k",)"
      R"("words":"workspace demo"}],"unlisted":0,"counts":{},"findings":[]})";
static const char ACCEPTED[]
    = R"({"version":5,"author":"ana","created":"2026-12-04T10:00:00Z"})";
static const char CONFLICT[]
    = R"({"reason":"conflict","status":409,"version":5,"author":"bor",)"
      R"("created":"2026-12-04T10:00:00Z"})";
static const char UNKNOWN[]
    = R"({"reason":"outcome-unknown","status":504,"version":5})";
static const char DOWN[]
    = R"({"reason":"store-unavailable","status":503,"detail":"nothing )"
      R"(changed"})";
static const char IN_FORCE[]
    = R"({"version":5,"known_version":5,"author":"ana","created":)"
      R"("2026-12-04T10:00:00Z","deployment":"small","day":"2026-12-04",)"
      R"("vms":[{"vm_id":"vm-1","version":5,"confirm_age_ms":300,)"
      R"("heard_age_ms":0,"silent":false},{"vm_id":"vm-2","version":1,)"
      R"("confirm_age_ms":null,"heard_age_ms":11000,"silent":true}],)"
      R"("controllers":{"freshness":{"store":"up"}}})";
static const char BEHIND[]
    = R"({"version":5,"vms":[{"vm_id":"vm-1","version":5,"silent":false},)"
      R"({"vm_id":"vm-2","version":4,"silent":false}]})";
static const char FLEET[]
    = R"({"version":5,"known_version":5,"author":"ana","vms":[)"
      R"({"vm_id":"vm-1","version":5,"confirm_age_ms":300,"heard_age_ms":0,)"
      R"("silent":false},{"vm_id":"vm-2","version":0,"confirm_age_ms":null,)"
      R"("heard_age_ms":null,"silent":false}],"controllers":{"config":{)"
      R"("store_down":true,"serves_keyed":true},"membership":{"live":2,)"
      R"("members":[{"vm":"vm-1","state":"alive","region":"vest",)"
      R"("failure_domain":"vest-a","one_way":false}]},"health":{"services":[)"
      R"({"service":"quotes","usable_share":0.5,"floor_percent":50,)"
      R"("aggregator":"vm-1","record_version":7,"record_age_ms":900,)"
      R"("ejections":[{"upstream":"q1","state":"ejected","repeats":2,)"
      R"("hold_ms":60000,"evidence":{"reason":"failed","share":0.5,)"
      R"("baseline":0.01,"score":14.5,"responses":80,"failure_domains":2}}],)"
      R"("avoided_here":[{"upstream":"q2","evidence":{"reason":"slow",)"
      R"("share":0.3,"baseline":0.02,"score":12,"responses":40,)"
      R"("failure_domains":1}}],"out":["q3"]}]},"limit":{"groups":1,)"
      R"("shares":{"demo":{"ppm":1000000}},"homes":[{"group":3}]},)"
      R"("quarantine":{"active":1,"entries":2}}})";
static const char FINDINGS[]
    = R"({"reason":"findings","status":422,"findings":[{"severity":"error",)"
      R"("source":"sheet","row":3,"column":"burst","value":"0",)"
      R"("expected":"a whole number from 1 to 1000000000"},)"
      R"({"severity":"error","source":"change","row":0,"column":"key",)"
      R"("value":"","expected":"at most 20% of the key rows removed"}]})";
static const char NEW_KEY[]
    = R"({"version":5,"name":"k","workspace":"demo","key":"new-secret"})";
static const char KEYS[]
    = R"({"version":5,"keys":[{"name":"demo-1","workspace":"demo",)"
      R"("state":"withdrawn"},{"name":"k","workspace":"\u010cebelica",)"
      R"("state":"issued"}]})";

// Guards against a change sent twice, an exit status that hides an unknown
// outcome, and output that programs cannot rely on.
TEST (Ctl, FollowsGoldenContract)
{
  struct
  {
    const char *arguments;
    std::vector<Answer> answers;
  } cases[] = {
    { "", {} },
    { "frob", {} },
    { "check", {} },
    { "check a b", {} },
    { "check missing.csv", {} },
    { "check --day 2026-12-04 small.csv", {} },
    { "check --day 2026-12-05 small.csv", {} },
    { "check --json --day 2026-12-05 small.csv", {} },
    { "check --day any ../packages/config/test/golden/bad-structure.csv", {} },
    // Twenty and more seeded faults, each of which has to be named.
    { "check --day any ../packages/ctl/test/golden/faults.csv", {} },
    // Allowed regions without upstreams.
    { "check --day any ../packages/ctl/test/golden/regions.csv", {} },
    { "check --day any --compare small.csv "
      "../packages/ctl/test/golden/changed.csv",
      {} },
    { "check --json --day any --compare small.csv "
      "../packages/ctl/test/golden/changed.csv",
      {} },
    { "check --day any --compare ../packages/ctl/test/golden/faults.csv "
      "small.csv",
      {} },
    { "check --day any --request-ms 200 small.csv", {} },
    { "check --day any --in-force small.csv", { { 200, DIFF } } },
    { "check --json --day any --in-force small.csv", { { 200, SAME } } },
    { "check --day any --in-force small.csv", { { 503, DOWN } } },
    { "check --day any --request-ms soon small.csv", {} },
    { "--timeout 0 status", {} },
    { "diff --day any small.csv", { { 200, DIFF } } },
    { "diff --day any --json small.csv", { { 200, SAME } } },
    { "diff --day any small.csv", { { 422, FINDINGS } } },
    { "diff --day any small.csv", { { 0, "" } } },
    { "diff --day any small.csv", { { 200, "not JSON" } } },
    { "apply --day any small.csv",
      { { 200, DIFF }, { 200, ACCEPTED }, { 200, IN_FORCE } } },
    { "apply --day any --base 4 --json small.csv",
      { { 200, ACCEPTED }, { 200, IN_FORCE } } },
    { "apply --day any --base 4 --allow-removal --no-wait --author bor "
      "small.csv",
      { { 200, ACCEPTED } } },
    { "apply --day any --base 4 --timeout 1 small.csv",
      { { 200, ACCEPTED }, { 200, BEHIND } } },
    { "apply --day any --base 4 small.csv", { { 409, CONFLICT } } },
    { "apply --day any --base 4 --json small.csv", { { 409, CONFLICT } } },
    { "apply --day any --base 4 small.csv", { { 422, FINDINGS } } },
    { "apply --day any --base 4 small.csv", { { 503, DOWN } } },
    { "apply --day any --base 4 small.csv", { { 0, "" }, { 200, SAME } } },
    { "apply --day any --base 4 small.csv", { { 0, "" }, { 200, OTHER } } },
    { "apply --day any --base 4 small.csv",
      { { 504, UNKNOWN }, { 200, SAME } } },
    { "apply --base x small.csv", {} },
    { "status", { { 200, IN_FORCE } } },
    { "status", { { 200, FLEET } } },
    { "status", { { 401, R"({"reason":"operator-key-invalid"})" } } },
    { "key list", { { 200, KEYS } } },
    { "key add demo k", { { 201, NEW_KEY }, { 200, IN_FORCE } } },
    { "key add demo k --json --no-wait", { { 201, NEW_KEY } } },
    { "key add demo k", { { 0, "" }, { 200, KEYS } } },
    { "key add demo k", { { 409, CONFLICT } } },
    { "key withdraw demo-1", { { 0, "" }, { 200, KEYS } } },
    { "key withdraw 'a/b c'", { { 404, R"({"reason":"not-found"})" } } },
    { "key", {} },
    { "key frob x", {} },
    { "upstream drain quotes-1 --no-wait", { { 200, ACCEPTED } } },
    { "upstream drain --allow-below-floor quotes-1 --no-wait",
      { { 200, ACCEPTED } } },
    { "upstream return quotes-1",
      { { 0, "" }, { 200, R"({"name":"quotes-1","drained":false})" } } },
    { "upstream drain quotes-1",
      { { 504, UNKNOWN }, { 200, R"({"name":"quotes-1","drained":true})" } } },
    { "apply --day any --base 4 small.csv",
      { { 200, "cut" }, { 200, SAME } } },
    { "upstream eject quotes-1", {} },
    { "evacuate Maribor-a --no-wait", { { 200, ACCEPTED } } },
    { "evacuate --undo Maribor-a", { { 200, ACCEPTED }, { 200, IN_FORCE } } },
    { "evacuate 'a/b c'", { { 404, R"({"reason":"not-found"})" } } },
    { "evacuate Maribor-a", { { 504, UNKNOWN } } },
    { "evacuate Maribor-a", { { 0, "" } } },
    { "evacuate --undo", {} },
    { "evacuate",
      { { 200, R"({"version":5,"evacuations":[{"failure_domain":"Maribor-a",)"
               R"("upstreams":7}]})" } } },
    { "route orders",
      { { 200, R"({"routes":[{"name":"orders","path":"/orders",)"
               R"("methods":"POST","service":"orders","access":"keyed",)"
               R"("action":"never-repeat","hedge":false,"timeout_ms":10000,)"
               R"("max_body_bytes":65536,"workspaces":"demo"}]})" } } },
    { "workspace",
      { { 200, R"({"workspaces":[{"name":"demo","rate_per_s":"50.000",)"
               R"("burst":100,"keys":1}]})" } } },
    { "history --count 1 --before 6",
      { { 200, R"({"changes":[{"version":5,"author":"ana","created":)"
               R"("2026-12-04T10:00:00Z"}]})" } } },
    { "explain r-1",
      { { 200, R"({"request_id":"r-1","status":429,"refused":)"
               R"("rate-limited"})" } } },
    { "explain r-2", { { 404, R"({"reason":"not-recorded"})" } } },
  };
  FakeAdmin admin;
  std::string transcript;
  for (const auto &c : cases)
    {
      admin.play (c.answers.empty () ? std::vector<Answer>{ { 500, "" } }
                                     : c.answers);
      Outcome result = run (c.arguments, admin.port);
      transcript += std::string ("$ lavenderctl ") + c.arguments + "\n"
                    + result.output + admin.log () + "exit "
                    + std::to_string (result.status) + "\n\n";
    }
  replace_all (transcript, std::to_string (admin.port), "PORT");
  replace_all (transcript, LT_BINARY_DIR "/packages/ctl/", "");
  if (getenv ("LT_GOLDEN_DIR") != nullptr)
    std::ofstream (std::string (getenv ("LT_GOLDEN_DIR")) + "/ctl.txt")
        << transcript;
  EXPECT_EQ (read_file (LT_TEST_DIR "/golden/ctl.txt"), transcript);
}

// Guards against a change reported as unknown, or as done, when no VM was
// reached at all.
TEST (Ctl, ReportsUnreachableVms)
{
  for (const char *arguments :
       { "status", "diff --day any small.csv",
         "apply --day any --base 4 small.csv", "key add demo",
         "key withdraw demo-1", "upstream drain quotes-1",
         "evacuate Maribor-a" })
    EXPECT_EQ (6, run (arguments, 1).status) << arguments;
}

// Guards against help that lacks a command or its examples.
TEST (Ctl, ExplainsEveryCommand)
{
  std::string help = run ("--help", 1).output;
  for (const char *command :
       { "apply", "check", "diff", "evacuate", "explain", "history", "key",
         "route", "status", "upstream", "workspace" })
    {
      EXPECT_NE (std::string::npos,
                 help.find (std::string ("\n  ") + command + " "))
          << command;
      Outcome own = run (std::string (command) + " --help", 1);
      EXPECT_EQ (0, own.status) << command;
      EXPECT_NE (std::string::npos,
                 own.output.find (std::string ("lavenderctl ") + command))
          << command;
      EXPECT_NE (std::string::npos, own.output.find ("Example")) << command;
    }
}

// Guards the way from a request's id to its cause: lost to a gray upstream
// that another VM already suspected, refused by a home that never answered,
// and cut by an upstream that was leaving.
TEST (Ctl, TellsTheStoryFromLogs)
{
  const std::string golden = "../packages/ctl/test/golden/";
  std::string story;
  for (const char *id : { "0d38", "2c22", "77aa", "none" })
    {
      Outcome outcome = run (std::string ("explain ") + id + " " + golden
                                 + "edge-a.log " + golden + "edge-b.log",
                             1);
      story += std::string ("$ explain ") + id + "\n" + outcome.output
               + "exit " + std::to_string (outcome.status) + "\n";
    }
  std::ifstream in (LT_TEST_DIR "/golden/story.txt");
  std::stringstream expected;
  expected << in.rdbuf ();
  EXPECT_EQ (expected.str (), story);
  EXPECT_EQ (1, run ("explain 0d38 no-such.log", 1).status);
}
