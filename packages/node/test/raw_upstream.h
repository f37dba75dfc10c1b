// An upstream on a thread of its own that reads whole requests and passes each
// connection to a handler, which may write any bytes.
#ifndef LT_NODE_TEST_RAW_UPSTREAM_H
#define LT_NODE_TEST_RAW_UPSTREAM_H

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>

#include <atomic>
#include <functional>
#include <list>
#include <string>
#include <thread>

class RawUpstream
{
public:
  // Called with the head of each request; returns whether to read another
  // request from the connection.
  using Handler
      = std::function<bool (RawUpstream &, int fd, const std::string &head)>;

  explicit RawUpstream (Handler handler_) : handler (std::move (handler_))
  {
    listener = socket (AF_INET, SOCK_STREAM, 0);
    sockaddr_in at = {};
    socklen_t len = sizeof (at);
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
    if (bind (listener, reinterpret_cast<sockaddr *> (&at), len) != 0
        || listen (listener, 64) != 0
        || getsockname (listener, reinterpret_cast<sockaddr *> (&at), &len)
               != 0)
      abort ();
    port = ntohs (at.sin_port);
    acceptor = std::thread ([this] { accept_all (); });
  }

  ~RawUpstream ()
  {
    stopping = true;
    shutdown (listener, SHUT_RDWR);
    acceptor.join ();
    close (listener);
    for (std::thread &t : threads)
      t.join ();
  }
  RawUpstream (const RawUpstream &) = delete;
  RawUpstream &operator= (const RawUpstream &) = delete;

  std::string
  address () const
  {
    return "127.0.0.1:" + std::to_string (port);
  }

  // Sends TEXT; returns false when the peer has closed the connection.
  bool
  send_text (int fd, const std::string &text)
  {
    size_t sent = 0;
    while (sent < text.size () && !stopping)
      {
        ssize_t got = ::send (fd, text.data () + sent, text.size () - sent,
                              MSG_NOSIGNAL);
        if (got < 0 && errno == EAGAIN)
          continue;
        if (got <= 0)
          return false;
        sent += static_cast<size_t> (got);
        bytes_sent += got;
      }
    return !stopping;
  }

  // Sends TEXT again and again until the peer closes the connection.
  void
  send_endlessly (int fd, const std::string &text)
  {
    while (send_text (fd, text))
      ;
  }

  std::atomic<int64_t> bytes_sent{ 0 };
  std::atomic<int> requests{ 0 };
  std::atomic<int> connections{ 0 };
  std::atomic<bool> stopping{ false };

private:
  void
  accept_all ()
  {
    int fd;
    while ((fd = accept (listener, nullptr, nullptr)) >= 0)
      {
        timeval step = { 0, 100000 };
        setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &step, sizeof (step));
        setsockopt (fd, SOL_SOCKET, SO_SNDTIMEO, &step, sizeof (step));
        connections++;
        threads.emplace_back ([this, fd] { serve (fd); });
      }
  }

  // Reads one head; requests of the tests have no body.
  std::string
  read_head (int fd, std::string *input)
  {
    char bytes[4096];
    while (!stopping)
      {
        size_t end = input->find ("\r\n\r\n");
        if (end != std::string::npos)
          {
            std::string head = input->substr (0, end + 4);
            input->erase (0, end + 4);
            return head;
          }
        ssize_t got = recv (fd, bytes, sizeof (bytes), 0);
        if (got < 0 && errno == EAGAIN)
          continue;
        if (got <= 0)
          return "";
        input->append (bytes, static_cast<size_t> (got));
      }
    return "";
  }

  void
  serve (int fd)
  {
    std::string input;
    std::string head;
    bool more = true;
    while (more && !(head = read_head (fd, &input)).empty ())
      {
        requests++;
        more = handler (*this, fd, head);
      }
    close (fd);
  }

  Handler handler;
  int listener;
  int port = 0;
  std::thread acceptor;
  std::list<std::thread> threads;
};

#endif
