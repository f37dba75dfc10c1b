// Tests of the operators' API on a real admin server with a manual clock and a
// fake config controller; a whole session is compared with a golden
// transcript.
#include <curl/curl.h>
#include <ev.h>
#include <gtest/gtest.h>
#include <jansson.h>
#include <sodium.h>

#include <atomic>
#include <fstream>
#include <sstream>
#include <string>
#include <thread>

#include "filter_record.h"
#include "lt/base/error.h"
#include "lt/config/sheet.h"
#include "lt/node/admin.h"
#include "lt/node/admin_api.h"
#include "lt/node/config_controller.h"
#include "lt/node/node.h"

static const char SHEET_DAY[] = "2026-12-04";

// Fake config controller.  Reports OUTCOME for a proposed change in the next
// iteration of the event loop, or refuses it at once with the error in
// APPLY_ERROR.
struct lt_config_controller
{
  lt_node_t *node = nullptr;
  lt_apply_outcome_t outcome = LT_APPLY_ACCEPTED;
  int apply_error = 0;
  ev_timer timer;
  lt_snapshot_t *snapshot = nullptr;
  std::string author;
  lt_apply_done_t done = nullptr;
  void *user = nullptr;
  lt_history_done_t history_done = nullptr;
};

static void
on_fake_timer (struct ev_loop *, ev_timer *timer, int)
{
  auto *c = static_cast<lt_config_controller *> (timer->data);
  if (c->history_done != nullptr)
    {
      lt_change_record_t records[]
          = { { 2, str_from ("ana"), 1796378400000000, str_from ("config/b") },
              { 1, str_from ("bor"), 1796378000000000,
                str_from ("config/a") } };
      auto done = c->history_done;
      c->history_done = nullptr;
      done (c->user, 0, records, 2);
      return;
    }
  lt_apply_result_t result = {};
  result.outcome = c->outcome;
  result.change.version = c->snapshot->version;
  result.change.author = str_from (
      c->outcome == LT_APPLY_CONFLICT ? "bor" : c->author.c_str ());
  result.change.created_wall_us = lt_clock_wall_us (c->node->clock);
  lt_snapshot_t *snapshot = c->snapshot;
  c->snapshot = nullptr;
  if (c->outcome == LT_APPLY_ACCEPTED)
    {
      lt_snapshot_ref_release (c->node->config);
      c->node->config = lt_snapshot_ref_create (snapshot);
    }
  else
    lt_snapshot_destroy (snapshot);
  c->done (c->user, &result);
}

extern "C"
{
  int
  lt_config_controller_apply (lt_config_controller_t *c, lt_snapshot_t *s,
                              int64_t base, str_t author, lt_apply_done_t done,
                              void *user)
  {
    if (c->apply_error != 0)
      {
        lt_snapshot_destroy (s);
        return c->apply_error;
      }
    EXPECT_EQ (c->node->config == nullptr ? 0
                                          : c->node->config->snapshot->version,
               base);
    c->snapshot = s;
    c->author.assign (author.data, author.len);
    c->done = done;
    c->user = user;
    ev_timer_init (&c->timer, on_fake_timer, 0., 0.);
    c->timer.data = c;
    ev_timer_start (c->node->loop, &c->timer);
    return 0;
  }
  int
  lt_config_controller_history (lt_config_controller_t *c, int64_t, size_t,
                                lt_history_done_t done, void *user)
  {
    c->history_done = done;
    c->user = user;
    ev_timer_init (&c->timer, on_fake_timer, 0., 0.);
    c->timer.data = c;
    ev_timer_start (c->node->loop, &c->timer);
    return 0;
  }
  void
  lt_config_controller_add_member (lt_config_controller_t *, str_t, int64_t)
  {
  }
  size_t
  lt_config_controller_vm_count (const lt_config_controller_t *)
  {
    return 2;
  }
  lt_vm_version_t
  lt_config_controller_vm_at (const lt_config_controller_t *c, size_t index)
  {
    int64_t now_us = lt_node_now_us (c->node);
    if (index == 0)
      return { str_from ("vm-1"), 2, 300000, now_us };
    return { str_from ("vm-2"), 1, -1, now_us - 11000000 };
  }
  int64_t
  lt_config_controller_known_version (const lt_config_controller_t *c)
  {
    return c->node->config == nullptr ? 0 : c->node->config->snapshot->version;
  }
}

static std::string
read_file (const std::string &path)
{
  std::ifstream in (path, std::ios::binary);
  std::stringstream out;
  out << in.rdbuf ();
  return out.str ();
}

static size_t
collect (char *data, size_t size, size_t count, void *out)
{
  static_cast<std::string *> (out)->append (data, size * count);
  return size * count;
}

// Returns the value of the first member "key" in TEXT.
static std::string
secret_in (const std::string &text)
{
  std::string before = "\"key\":\"";
  size_t start = text.find (before) + before.size ();
  return text.substr (start, text.find ('"', start) - start);
}

class AdminApi : public ::testing::Test
{
protected:
  void
  SetUp () override
  {
    ASSERT_GE (sodium_init (), 0);
    curl_global_init (CURL_GLOBAL_DEFAULT);
    lt_settings_init (&settings);
    settings.vm_id = str_from ("vm-1");
    settings.admin_listen = str_from ("127.0.0.1:0");
    settings.operator_key = str_from ("operator-key-1");
    settings.key_hash_secret = str_from ("hash-secret-1");
    lt_manual_clock_init (&clock, 100000000);
    clock.wall_us = 1796378400000000; // 2026-12-04 10:00 UTC
    node.loop = ev_loop_new (EVFLAG_AUTO);
    node.dialect = &lt_dialect_default;
    node.clock = &clock.base;
    node.settings = &settings;
    node.metrics = lt_metrics_create ();
    controller.node = &node;
    node.config_controller = &controller;
    lt_node_add_filter (&node, lt_filter_record_create ());
    ASSERT_EQ (0, lt_admin_create (&node, &admin));
    lt_admin_add_api (admin);
  }
  void
  TearDown () override
  {
    lt_admin_destroy (admin);
    node.filters[0]->vtable->destroy (node.filters[0]);
    lt_snapshot_ref_release (node.config);
    lt_metrics_destroy (node.metrics);
    ev_loop_destroy (node.loop);
  }

  // Sends one request while the loop runs; returns "STATUS BODY".
  std::string
  call (const std::string &method, const std::string &target,
        const std::string &body = "", const char *key = "operator-key-1")
  {
    std::string text;
    long status = 0;
    ev_async wake;
    ev_async_init (&wake, [] (struct ev_loop *loop, ev_async *, int) {
      ev_break (loop, EVBREAK_ONE);
    });
    ev_async_start (node.loop, &wake);
    uint16_t port = lt_admin_port (admin);
    std::thread caller ([&] {
      CURL *easy = curl_easy_init ();
      std::string url = "http://127.0.0.1:" + std::to_string (port) + target;
      std::string auth = std::string ("Authorization: Bearer ") + key;
      curl_slist *lines = curl_slist_append (nullptr, auth.c_str ());
      lines = curl_slist_append (lines, "X-Author: ana");
      lines = curl_slist_append (lines, "Expect:");
      curl_easy_setopt (easy, CURLOPT_URL, url.c_str ());
      curl_easy_setopt (easy, CURLOPT_HTTPHEADER, lines);
      curl_easy_setopt (easy, CURLOPT_CUSTOMREQUEST, method.c_str ());
      curl_easy_setopt (easy, CURLOPT_NOPROXY, "*");
      if (method == "POST")
        {
          curl_easy_setopt (easy, CURLOPT_POSTFIELDSIZE, (long)body.size ());
          curl_easy_setopt (easy, CURLOPT_POSTFIELDS, body.c_str ());
        }
      curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, collect);
      curl_easy_setopt (easy, CURLOPT_WRITEDATA, &text);
      curl_easy_perform (easy);
      curl_easy_getinfo (easy, CURLINFO_RESPONSE_CODE, &status);
      curl_slist_free_all (lines);
      curl_easy_cleanup (easy);
      ev_async_send (node.loop, &wake);
    });
    ev_run (node.loop, 0);
    caller.join ();
    ev_async_stop (node.loop, &wake);
    return std::to_string (status) + " " + text;
  }

  lt_settings_t settings = {};
  lt_manual_clock_t clock = {};
  lt_node_t node = {};
  lt_config_controller controller;
  lt_admin_t *admin = nullptr;
};

// Guards against handlers that make changes that they must reject,
// respond with an undocumented status, or leave out details that operators
// need.
TEST_F (AdminApi, FollowsGoldenSession)
{
  std::string sheet = read_file (LT_SOURCE_DIR "/examples/small.csv");
  std::string apply = "/v1/config/apply?day=" + std::string (SHEET_DAY);
  std::string changed_limit = sheet;
  changed_limit.replace (changed_limit.find ("demo,50,100"), 11,
                         "demo,60,100");
  std::string removed_rows = sheet;
  removed_rows.erase (removed_rows.find ("route,catalogue"),
                      removed_rows.find ("route,quotes")
                          - removed_rows.find ("route,catalogue"));
  removed_rows.replace (removed_rows.find (",10,"), 4, ",9,");
  struct
  {
    const char *title, *method;
    std::string target, body;
    lt_apply_outcome_t outcome;
    int apply_error;
  } steps[] = {
    { "no configuration yet", "GET", "/v1/routes", "", LT_APPLY_ACCEPTED, 0 },
    { "status without configuration", "GET", "/v1/status", "",
      LT_APPLY_ACCEPTED, 0 },
    { "first diff", "POST", "/v1/config/diff", sheet, LT_APPLY_ACCEPTED, 0 },
    { "no base", "POST", apply, sheet, LT_APPLY_ACCEPTED, 0 },
    { "base of the future", "POST", apply + "&base=7", sheet,
      LT_APPLY_ACCEPTED, 0 },
    { "bad sheet", "POST", apply + "&base=0", "kind,name\nfrob,x\n",
      LT_APPLY_ACCEPTED, 0 },
    { "another day", "POST", "/v1/config/apply?base=0&day=2026-12-05", sheet,
      LT_APPLY_ACCEPTED, 0 },
    { "first apply", "POST", apply + "&base=0", sheet, LT_APPLY_ACCEPTED, 0 },
    { "diff of one limit", "POST", "/v1/config/diff", changed_limit,
      LT_APPLY_ACCEPTED, 0 },
    { "base too old", "POST", apply + "&base=0", changed_limit,
      LT_APPLY_ACCEPTED, 0 },
    { "conflict in the store", "POST", apply + "&base=1", changed_limit,
      LT_APPLY_CONFLICT, 0 },
    { "outcome unknown", "POST", apply + "&base=1", changed_limit,
      LT_APPLY_UNKNOWN, 0 },
    { "store down", "POST", apply + "&base=1", changed_limit,
      LT_APPLY_UNAVAILABLE, 0 },
    { "busy", "POST", apply + "&base=1", changed_limit, LT_APPLY_ACCEPTED,
      -LT_EFULL },
    { "large removal", "POST", apply + "&base=1", removed_rows,
      LT_APPLY_ACCEPTED, 0 },
    { "allowed removal", "POST", apply + "&base=1&allow_removal=1",
      removed_rows, LT_APPLY_ACCEPTED, 0 },
    { "key for no workspace", "POST", "/v1/keys",
      "{\"name\":\"k\",\"workspace\":\"ghost\"}", LT_APPLY_ACCEPTED, 0 },
    { "malformed body", "POST", "/v1/keys", "{\"name\":1}", LT_APPLY_ACCEPTED,
      0 },
    { "key with outcome unknown", "POST", "/v1/keys",
      "{\"name\":\"k\",\"workspace\":\"demo\"}", LT_APPLY_UNKNOWN, 0 },
    { "new key", "POST", "/v1/keys", "{\"name\":\"k\",\"workspace\":\"demo\"}",
      LT_APPLY_ACCEPTED, 0 },
    { "same name again", "POST", "/v1/keys",
      "{\"name\":\"k\",\"workspace\":\"demo\"}", LT_APPLY_ACCEPTED, 0 },
    { "keys", "GET", "/v1/keys", "", LT_APPLY_ACCEPTED, 0 },
    { "withdraw", "DELETE", "/v1/keys/demo-1", "", LT_APPLY_ACCEPTED, 0 },
    { "withdraw again", "DELETE", "/v1/keys/demo-1", "", LT_APPLY_ACCEPTED,
      0 },
    { "withdraw unknown", "DELETE", "/v1/keys/ghost", "", LT_APPLY_ACCEPTED,
      0 },
    { "sheet with a withdrawn key", "POST", apply + "&base=4", removed_rows,
      LT_APPLY_ACCEPTED, 0 },
    { "drain below the floor", "POST", "/v1/upstreams/quotes-1/drain", "",
      LT_APPLY_ACCEPTED, 0 },
    { "drain permitted", "POST",
      "/v1/upstreams/quotes-1/drain?allow_below_floor=1", "",
      LT_APPLY_ACCEPTED, 0 },
    { "one upstream", "GET", "/v1/upstreams/quotes-1", "", LT_APPLY_ACCEPTED,
      0 },
    { "upstream without row", "GET", "/v1/upstreams/ghost", "",
      LT_APPLY_ACCEPTED, 0 },
    { "return", "POST", "/v1/upstreams/quotes-1/return", "", LT_APPLY_ACCEPTED,
      0 },
    { "unknown action", "POST", "/v1/upstreams/quotes-1/eject", "",
      LT_APPLY_ACCEPTED, 0 },
    { "unknown upstream", "POST", "/v1/upstreams/ghost/drain", "",
      LT_APPLY_ACCEPTED, 0 },
    { "evacuate", "POST", "/v1/evacuations/local-a", "", LT_APPLY_ACCEPTED,
      0 },
    { "evacuate again", "POST", "/v1/evacuations/local-a", "",
      LT_APPLY_ACCEPTED, 0 },
    { "evacuate an unknown domain", "POST", "/v1/evacuations/local-z", "",
      LT_APPLY_ACCEPTED, 0 },
    { "evacuations", "GET", "/v1/evacuations", "", LT_APPLY_ACCEPTED, 0 },
    { "evacuated upstream", "GET", "/v1/upstreams/quotes-1", "",
      LT_APPLY_ACCEPTED, 0 },
    { "end of the evacuation", "DELETE", "/v1/evacuations/local-a", "",
      LT_APPLY_ACCEPTED, 0 },
    { "no evacuations", "GET", "/v1/evacuations", "", LT_APPLY_ACCEPTED, 0 },
    { "routes", "GET", "/v1/routes", "", LT_APPLY_ACCEPTED, 0 },
    { "one route", "GET", "/v1/routes/orders", "", LT_APPLY_ACCEPTED, 0 },
    { "unknown route", "GET", "/v1/routes/ghost", "", LT_APPLY_ACCEPTED, 0 },
    { "workspaces", "GET", "/v1/workspaces", "", LT_APPLY_ACCEPTED, 0 },
    { "one workspace", "GET", "/v1/workspaces/demo", "", LT_APPLY_ACCEPTED,
      0 },
    { "history", "GET", "/v1/history?count=2", "", LT_APPLY_ACCEPTED, 0 },
    { "history of no number", "GET", "/v1/history?count=x", "",
      LT_APPLY_ACCEPTED, 0 },
    { "status", "GET", "/v1/status", "", LT_APPLY_ACCEPTED, 0 },
    { "request without record", "GET", "/v1/requests/r-1", "",
      LT_APPLY_ACCEPTED, 0 },
  };
  std::string transcript;
  for (const auto &step : steps)
    {
      controller.outcome = step.outcome;
      controller.apply_error = step.apply_error;
      transcript += std::string ("# ") + step.title + "\n" + step.method + " "
                    + step.target + "\n"
                    + call (step.method, step.target, step.body) + "\n";
    }
  std::string secret = secret_in (transcript);
  EXPECT_EQ (43u, secret.size ());
  transcript.replace (transcript.find (secret), secret.size (), "SECRET");
  if (getenv ("LT_GOLDEN_DIR") != nullptr)
    std::ofstream (std::string (getenv ("LT_GOLDEN_DIR")) + "/admin_api.txt")
        << transcript;
  EXPECT_EQ (read_file (LT_TEST_DIR "/golden/admin_api.txt"), transcript);
}

// Guards against an endpoint that serves requests without the operator key.
TEST_F (AdminApi, RequiresTheOperatorKeyEverywhere)
{
  const char *targets[][2] = { { "POST", "/v1/config/apply" },
                               { "POST", "/v1/config/diff" },
                               { "GET", "/v1/history" },
                               { "GET", "/v1/keys" },
                               { "POST", "/v1/keys" },
                               { "DELETE", "/v1/keys/x" },
                               { "GET", "/v1/requests/x" },
                               { "GET", "/v1/routes" },
                               { "GET", "/v1/routes/x" },
                               { "GET", "/v1/status" },
                               { "POST", "/v1/upstreams/x/drain" },
                               { "GET", "/v1/upstreams/x" },
                               { "GET", "/v1/workspaces" },
                               { "GET", "/v1/workspaces/x" } };
  for (const auto &t : targets)
    EXPECT_EQ ("401", call (t[0], t[1], "", "wrong-key").substr (0, 3))
        << t[1];
}

// Guards against an issued key that is not accepted, that belongs to another
// workspace, or that is still accepted after its withdrawal.
TEST_F (AdminApi, IssuesAKeyThatWorks)
{
  std::string sheet = read_file (LT_SOURCE_DIR "/examples/small.csv");
  ASSERT_EQ (
      "200",
      call ("POST", "/v1/config/apply?base=0&day=", sheet).substr (0, 3));
  std::string response
      = call ("POST", "/v1/keys", "{\"name\":\"k\",\"workspace\":\"demo\"}");
  std::string secret = secret_in (response);
  lt_digest_t hash
      = lt_key_hash (settings.key_hash_secret, str_from (secret.c_str ()));
  const lt_snapshot_t *s = node.config->snapshot;
  const lt_key_t *key = lt_snapshot_find_key (s, &hash);
  ASSERT_NE (nullptr, key);
  EXPECT_EQ (lt_snapshot_find_workspace (s, str_from ("demo")),
             key->workspace);
  EXPECT_EQ ("200", call ("DELETE", "/v1/keys/k").substr (0, 3));
  EXPECT_EQ (nullptr, lt_snapshot_find_key (node.config->snapshot, &hash));
}

// Guards against returning the record of another request, and against records
// that are still found after the ring of 4096 has overwritten them.
TEST_F (AdminApi, ReturnsRecordsOfRecentRequests)
{
  std::string sheet = read_file (LT_SOURCE_DIR "/examples/small.csv");
  ASSERT_EQ (
      "200",
      call ("POST", "/v1/config/apply?base=0&day=", sheet).substr (0, 3));
  lt_request_t request = {};
  char method[] = "POST";
  request.method = method;
  request.snapshot = node.config->snapshot;
  request.route = &request.snapshot->routes[1];
  request.workspace = 0;
  request.started_us = lt_node_now_us (&node) - 2500;
  request.response.status = 429;
  request.refused = true;
  request.refusal = LT_REFUSE_RATE;
  lt_header_list_add (&request.response.headers, str_from ("X-Request-Ran"),
                      str_from ("not-run"));
  lt_filter_t *filter = node.filters[0];
  for (int i = 0; i <= 4096; i++)
    {
      snprintf (request.request_id, sizeof (request.request_id), "r-%d", i);
      filter->vtable->done (filter, &request);
    }
  lt_header_list_destroy (&request.response.headers);
  EXPECT_EQ ("404", call ("GET", "/v1/requests/r-0").substr (0, 3));
  EXPECT_EQ ("200 {\"request_id\":\"r-1\",\"method\":\"POST\",\"route\":"
             "\"orders\",\"workspace\":\"demo\",\"status\":429,\"cut_short\":"
             "false,\"config_version\":1,\"ended\":\"2026-12-04T10:00:00Z\","
             "\"duration_us\":2500,\"refused\":\"rate-limited\",\"ran\":"
             "\"not-run\"}",
             call ("GET", "/v1/requests/r-1"));
}
