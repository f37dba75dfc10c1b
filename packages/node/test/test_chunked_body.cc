// The chunked transfer coding: every split of the input gives the same body,
// and framing without end is an error.
#include <gtest/gtest.h>

#include <string>

#include "chunked_body.h"
#include "lt/base/error.h"

namespace
{

struct Decoded
{
  int error = 0;
  std::string body;
  lt_chunked_state_t state = LT_CHUNKED_SIZE;
};

// Decodes TEXT in parts of STEP bytes.
Decoded
decode (const std::string &text, size_t step)
{
  Decoded result;
  lt_chunked_body_t body = {};
  lt_buf_t out = {};
  for (size_t at = 0; at < text.size () && result.error == 0; at += step)
    result.error = lt_chunked_body_decode (
        &body,
        str_make (text.data () + at, std::min (step, text.size () - at)),
        &out);
  if (out.len > 0)
    result.body.assign (out.data, out.len);
  result.state = body.state;
  lt_buf_destroy (&out);
  return result;
}

} // namespace

TEST (ChunkedBody, DecodesEverySplit)
{
  struct
  {
    const char *text;
    const char *body;
  } cases[] = {
    { "0\r\n\r\n", "" },
    { "5\r\nhello\r\n0\r\n\r\n", "hello" },
    { "5;a=b\r\nhello\r\n1 ;c\r\n!\r\n000\r\n\r\n", "hello!" },
    { "A\r\n0123456789\r\n0\r\nX-Sum: 1\r\nX-More: 2\r\n\r\n", "0123456789" },
    { "2\r\n\r\n\r\n0\r\n\r\n", "\r\n" },
    { "1\na\n0\n\n", "a" },
    { "1\r\na\r\n0\r\n\r\nHTTP/1.1 200 OK\r\n\r\n", "a" },
  };
  for (const auto &c : cases)
    for (size_t step = 1; step <= 12; step++)
      {
        Decoded result = decode (c.text, step);
        EXPECT_EQ (0, result.error) << c.text << step;
        EXPECT_EQ (c.body, result.body) << c.text << step;
        EXPECT_EQ (LT_CHUNKED_END, result.state) << c.text << step;
      }
}

TEST (ChunkedBody, RejectsMalformedAndEndlessFraming)
{
  const std::string many (20000, 'x');
  std::string chunks;
  for (int i = 0; i < 40; i++)
    chunks += "1;" + std::string (1000, 'x') + "\r\na\r\n";
  const std::string cases[]
      = { "\r\n",          "zz\r\n",          "-1\r\n",
          "3\r\nabcd\r\n", "5;" + many,       std::string (16, '0'),
          chunks,          "0\r\nX: " + many, "fffffffffffffffff\r\n" };
  for (const std::string &text : cases)
    EXPECT_EQ (-LT_EPROTO, decode (text, 7).error) << text.substr (0, 20);
}

// Text that libcurl skips made a chunk the last one ("0x4"), or a body end
// within what its upstream sent.
TEST (ChunkedBody, RejectsWhatIsNoFraming)
{
  for (const char *text :
       { "0x4\r\n", "4 4\r\n", "4,\r\n", "4\x01\r\n", "4\r\r\n", "4\r4\r\n",
         "4; a\x01\r\n", "1\r\na\r\r\n", "1\r\na\rb", "0\r\nno field\r\n",
         "0\r\n: 1\r\n", "0\r\n X: 1\r\n", "0\r\nX : 1\r\n",
         "0\r\nX: \x01\r\n", "0\r\nX\r\n" })
    EXPECT_EQ (-LT_EPROTO, decode (text, 1).error) << text;
}

// Chunks of a byte each have more framing than body and are proper.
TEST (ChunkedBody, AcceptsSmallChunks)
{
  std::string text;
  for (int i = 0; i < 100000; i++)
    text += "1\r\na\r\n";
  EXPECT_EQ (std::string (100000, 'a'), decode (text + "0\r\n\r\n", 999).body);
}
