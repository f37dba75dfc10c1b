// Requests with many header lines, within maxHeaderBytes, from kept
// connections: a server runs each of them, and the connection is closed
// without its answer.
#include "rig.h"

using namespace rig;

namespace
{

constexpr int CONNECTIONS = 6;
constexpr size_t LIMIT_BYTES = 16384; // maxHeaderBytes.
constexpr int ALLOWED = 3;            // LOST: "more than three times".

struct Shape
{
  const char *name;
  size_t request_bytes; // Of the further header lines of the request.
  size_t value_bytes;   // Of each of these lines.
  size_t answer_bytes;  // Of the further header lines of the answer.
};

std::string
lines (size_t bytes, size_t value_bytes)
{
  std::string out;
  for (int i = 0; out.size () + value_bytes < bytes; i++)
    out += "X" + std::to_string (i) + ": " + std::string (value_bytes, 'v')
           + "\r\n";
  return out;
}

} // namespace

int
main (int, char **argv)
{
  signal (SIGPIPE, SIG_IGN);
  Record record (argv[1]);
  Place place = find_place ();
  Store store;
  std::atomic<int> runs{ 0 };
  Listener server ([&] (Stream *s) {
    Message m;
    if (!s->read (&m, now_ms () + 20000))
      return;
    runs++;
    std::string bytes = m.word (1).substr (sizeof ("/once/") - 1);
    record.line ("server runs %s, head of %zu bytes",
                 m.header ("attempt-id").c_str (), m.head.size ());
    s->write (sealed (m, "done", lines ((size_t)atol (bytes.c_str ()), 80)));
  });
  store.put ("servers", "i-7f3a91c2",
             server_row ("desk", server.address (), 6));
  store.put ("op", "config",
             config (route ("r-once", "/once/", "unsafe", "desk", 6000)));
  VmOptions options;
  options.id = "edge-a-1";
  Vm vm (place, store, options);
  vm.start ();
  if (!vm.wait_ready (10000))
    record.finish (2);
  const Shape shapes[] = { { "400 lines", 14700, 30, 1000 },
                           { "500 lines", 7800, 8, 2000 },
                           { "180 lines", 15800, 80, 16000 } };
  int closed = 0;
  int answered = 0;
  for (const Shape &shape : shapes)
    for (int i = 0; i < CONNECTIONS; i++)
      {
        Stream client (connect_to (vm.ip, vm.front));
        std::string id
            = std::string (1, shape.name[0]) + "-" + std::to_string (i);
        Message first;
        if (!client.write (request ("POST", "/once/0", id + "-first"))
            || !client.read (&first, now_ms () + 5000)
            || first.status () != 200)
          record.finish (2);
        std::string text = request (
            "POST", "/once/" + std::to_string (shape.answer_bytes), id,
            lines (place.trouble ? shape.request_bytes : 1000,
                   shape.value_bytes));
        if (text.size () > LIMIT_BYTES)
          record.finish (2);
        int before = runs;
        Message answer;
        client.write (text);
        bool got = client.read (&answer, now_ms () + 5000);
        bool ran = runs > before;
        record.line ("%s (%s): head of %zu bytes; ran %d; %s", id.c_str (),
                     shape.name, text.size (), ran,
                     got ? answer.first_line.c_str ()
                         : "connection closed without an answer");
        closed += !got && ran;
        answered += got && answer.status () == 200;
      }
  int status = 0;
  bool alive = !vm.ended (&status);
  record.line ("run by the server and closed without an answer: %d; "
               "answered by 200: %d; process alive: %d",
               closed, answered, alive);
  vm.end ();
  record.finish (closed > ALLOWED ? 1 : 0);
}
