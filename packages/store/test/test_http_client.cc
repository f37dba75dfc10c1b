// Guards against taking a response of the store that was cut within its head,
// or whose head is spoilt, for a whole one: a write would count as done.
#include <arpa/inet.h>
#include <ev.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <string>
#include <thread>

#include "lt/base/error.h"
#include "lt/store/http_client.h"

namespace
{

struct Result
{
  struct ev_loop *loop;
  int error = 1;
  long status = 0;
  std::string body;
  std::string header;
};

std::string
text_of (str_t s)
{
  return s.len == 0 ? std::string () : std::string (s.data, s.len);
}

const std::string kRequestBody = "{}";

// Reads a whole request from a connection, as unread bytes would reset it,
// sends RESPONSE and closes.
void
serve_one (int listener, const std::string &response)
{
  char bytes[4096];
  std::string request;
  ssize_t got = 1;
  int fd = accept (listener, nullptr, nullptr);
  while (got > 0
         && (request.size () < kRequestBody.size ()
             || request.compare (request.size () - kRequestBody.size (),
                                 std::string::npos, kRequestBody)
                    != 0))
    {
      got = recv (fd, bytes, sizeof (bytes), 0);
      request.append (bytes, got > 0 ? (size_t)got : 0);
    }
  (void)!send (fd, response.data (), response.size (), MSG_NOSIGNAL);
  close (fd);
}

// Sends a request to a server that sends RESPONSE.
Result
fetch (const std::string &response)
{
  int listener = socket (AF_INET, SOCK_STREAM, 0);
  sockaddr_in at = {};
  socklen_t len = sizeof (at);
  at.sin_family = AF_INET;
  at.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  if (bind (listener, reinterpret_cast<sockaddr *> (&at), len) != 0
      || listen (listener, 4) != 0
      || getsockname (listener, reinterpret_cast<sockaddr *> (&at), &len) != 0)
    abort ();
  std::thread server (serve_one, listener, response);
  Result result;
  result.loop = ev_loop_new (EVFLAG_AUTO);
  http_client_options_t options = {};
  options.loop = result.loop;
  http_client_t *client = nullptr;
  EXPECT_EQ (0, http_client_create (&options, &client));
  std::string url = "http://127.0.0.1:" + std::to_string (ntohs (at.sin_port));
  http_request_t request = {};
  request.method = "POST";
  request.url = url.c_str ();
  request.body = str_make (kRequestBody.data (), kRequestBody.size ());
  request.response_header = "Store-Mark";
  request.timeout_ms = 5000;
  http_client_submit (
      client, &request,
      [] (void *user, const http_response_t *r) {
        Result *to = static_cast<Result *> (user);
        to->error = r->error;
        to->status = r->status;
        to->body = text_of (r->body);
        to->header = text_of (r->header);
        ev_break (to->loop, EVBREAK_ALL);
      },
      &result);
  ev_run (result.loop, 0);
  server.join ();
  http_client_destroy (client);
  ev_loop_destroy (result.loop);
  close (listener);
  return result;
}

const std::string kOk = "HTTP/1.1 200 OK\r\n";

} // namespace

TEST (HttpClient, ResponsesCutWithinTheirHeadAreErrors)
{
  const std::string whole = kOk + "Content-Length: 0\r\n\r\n";
  for (size_t cut = 0; cut < whole.size (); cut++)
    EXPECT_EQ (-LT_EIO, fetch (whole.substr (0, cut)).error) << cut;
  EXPECT_EQ (0, fetch (whole).error);
}

TEST (HttpClient, SpoiltHeadsAreErrors)
{
  for (const char *fields :
       { "Content-Length: 2, 3\r\n", "Content-Length: 2 3\r\n",
         "Content-Length: 3\r\nContent-Length: 2\r\n",
         "Content-Length : 2\r\n", "no colon\r\nContent-Length: 2\r\n",
         " folded\r\n", "Na me: 1\r\n",
         "Transfer-Encoding: chunked\r\nContent-Length: 2\r\n" })
    EXPECT_EQ (-LT_EIO, fetch (kOk + fields + "\r\n{}").error) << fields;
  EXPECT_EQ (-LT_EIO, fetch ("HTTP/1.1 101 Switching\r\n\r\n{}").error);
  EXPECT_EQ (-LT_EIO, fetch ("HTTP/1.1 999 High\r\n\r\n{}").error);
}

TEST (HttpClient, SoundResponsesAreTaken)
{
  Result result
      = fetch ("HTTP/1.1 100 Continue\r\n\r\n" + kOk
               + "store-mark:  7 \r\nX-Empty:\r\nContent-Length: 2\r\n\r\n{}");
  EXPECT_EQ (0, result.error);
  EXPECT_EQ (200, result.status);
  EXPECT_EQ ("{}", result.body);
  EXPECT_EQ ("7", result.header);
  result = fetch (kOk
                  + "Transfer-Encoding: chunked\r\n\r\n"
                    "2\r\n{}\r\n0\r\n\r\n");
  EXPECT_EQ (0, result.error);
  EXPECT_EQ ("{}", result.body);
  EXPECT_EQ ("", result.header);
  result = fetch (kOk + "\r\n{}");
  EXPECT_EQ (0, result.error);
  EXPECT_EQ ("{}", result.body);
}
