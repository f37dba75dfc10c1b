// Guards against transfers that wait in libcurl, where neither their deadline
// nor the departure of their upstream or a stop of the VM reaches them.
#include <gtest/gtest.h>

#include <atomic>

#include <ev.h>

#include "raw_upstream.h"
#include "upstream_client.h"
#include "upstream_probe.h"

namespace
{

const int kTransfers = 40;

const lt_transfer_vtable_t kIgnore
    = { [] (void *, const lt_response_head_t *) { return true; },
        [] (void *, str_t) { return true; },
        [] (void *, const lt_transfer_result_t *) {},
        [] (void *) { return true; } };

class UpstreamClient : public testing::Test
{
protected:
  UpstreamClient ()
      : upstream ([this] (RawUpstream &u, int fd, const std::string &head) {
          arrived++;
          if (head.compare (0, 12, "GET /healthz") == 0)
            u.send_text (fd, "HTTP/1.1 200 OK\r\n"
                             "Content-Length: 0\r\n\r\n");
          return true;
        }),
        address (upstream.address ()), loop (ev_loop_new (EVFLAG_AUTO))
  {
    lt_upstream_client_create (loop, &client);
    lt_transfer_options_t options = {};
    options.address = str_make (address.data (), address.size ());
    options.method = STR_LIT ("GET");
    options.target = STR_LIT ("/held");
    options.headers = &headers;
    options.timeout_ms = 20000;
    for (int i = 0; i < kTransfers; i++)
      EXPECT_NE (nullptr,
                 lt_upstream_client_send (client, &options, &kIgnore, this));
  }
  ~UpstreamClient () override
  {
    lt_upstream_client_destroy (client);
    ev_loop_destroy (loop);
  }

  // Runs the loop until DONE returns true, for at most 10 s.
  template <typename Done>
  bool
  run_until (Done done)
  {
    ev_timer step;
    ev_timer_init (
        &step, [] (struct ev_loop *, ev_timer *, int) {}, 0.005, 0.005);
    ev_timer_start (loop, &step);
    double end = ev_time () + 10;
    while (!done () && ev_time () < end)
      ev_run (loop, EVRUN_ONCE);
    ev_timer_stop (loop, &step);
    return done ();
  }

  std::atomic<int> arrived{ 0 };
  RawUpstream upstream;
  std::string address;
  struct ev_loop *loop;
  lt_header_list_t headers = {};
  lt_upstream_client_t *client = nullptr;
};

TEST_F (UpstreamClient, StartsEveryTransferAtOnce)
{
  EXPECT_TRUE (run_until ([&] { return arrived == kTransfers; }));
}

// A probe that waits behind requests times out, and a busy upstream would
// count as failed.
TEST_F (UpstreamClient, ProbesDoNotWaitForTransfers)
{
  int result = -1;
  ASSERT_NE (nullptr, lt_upstream_probe_start (
                          client, str_make (address.data (), address.size ()),
                          [] (void *user, bool ok, bool) {
                            *static_cast<int *> (user) = ok;
                          },
                          &result));
  EXPECT_TRUE (run_until ([&] { return result >= 0; }));
  EXPECT_EQ (1, result);
}

} // namespace
