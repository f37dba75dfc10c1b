// Tests of frames, sessions and messages between VMs.  Malformed, forged and
// replayed input must close the session with a counted reason, and must not
// affect the process or other sessions.
#include <gtest/gtest.h>

#include <functional>
#include <string>
#include <vector>

#include "lt/base/error.h"
#include "lt/base/rng.h"
#include "lt/wire/message.h"
#include "lt/wire/pack.h"
#include "lt/wire/session.h"

static str_t
view (const std::string &s)
{
  return str_make (s.data (), s.size ());
}

namespace
{
struct Side
{
  lt_session_t *session = nullptr;
  bool open = false;
  std::vector<std::string> payloads;
  lt_close_reason_t closed = LT_CLOSE_REASON_END;
};

// Two sessions; a test passes the bytes between them and may alter them.
struct Pair
{
  lt_session_counts_t counts = {};
  Side connector;
  Side acceptor;

  explicit Pair (const char *secret = "secret", const char *other = "secret",
                 const char *connector_id = "vm-1")
  {
    lt_session_options_t options = {};
    options.counts = &counts;
    options.self = { str_from (connector_id), 7, STR_LIT ("vest"),
                     STR_LIT ("vest-a"), STR_LIT ("127.0.0.1:9001") };
    options.secret = str_from (secret);
    options.connecting = true;
    options.nonce[0] = 1;
    connector.session = lt_session_create (&options);
    options.self.vm_id = STR_LIT ("vm-2");
    options.secret = str_from (other);
    options.connecting = false;
    options.nonce[0] = 2;
    acceptor.session = lt_session_create (&options);
  }
  Pair (const Pair &) = delete;
  ~Pair ()
  {
    lt_session_destroy (connector.session);
    lt_session_destroy (acceptor.session);
  }

  static std::string
  take_output (Side &side)
  {
    lt_buf_t *out = lt_session_output (side.session);
    std::string bytes (out->len == 0 ? "" : out->data, out->len);
    lt_buf_clear (out);
    return bytes;
  }

  static void
  deliver (Side &side, const std::string &bytes)
  {
    lt_session_receive (side.session, view (bytes));
    handle_events (side);
  }

  static void
  handle_events (Side &side)
  {
    lt_session_event_t event;
    while (lt_session_next (side.session, &event))
      {
        if (event.type == LT_SESSION_OPEN)
          side.open = true;
        else if (event.type == LT_SESSION_CLOSED)
          side.closed = event.reason;
        else
          side.payloads.emplace_back (event.frame.payload.data,
                                      event.frame.payload.len);
      }
  }

  void
  handshake ()
  {
    deliver (acceptor, take_output (connector));
    deliver (connector, take_output (acceptor));
    deliver (acceptor, take_output (connector));
  }
};
}

// Guards the handshake, the identity that it yields, and decoding when bytes
// arrive one at a time.
TEST (Session, OpensAndDeliversByteByByte)
{
  Pair pair;
  pair.handshake ();
  ASSERT_TRUE (pair.connector.open && pair.acceptor.open);
  const lt_vm_identity_t *peer = lt_session_peer (pair.acceptor.session);
  EXPECT_TRUE (str_equal (peer->vm_id, STR_LIT ("vm-1")));
  EXPECT_TRUE (str_equal (peer->peer_address, STR_LIT ("127.0.0.1:9001")));
  EXPECT_EQ (7u, peer->incarnation);
  for (const char *text : { "one", "two" })
    lt_session_send (pair.connector.session, LT_MESSAGE_EVIDENCE, 5,
                     str_from (text));
  for (char c : Pair::take_output (pair.connector))
    Pair::deliver (pair.acceptor, std::string (1, c));
  EXPECT_EQ ((std::vector<std::string>{ "one", "two" }),
             pair.acceptor.payloads);
}

// Guards against answering a peer with another secret, and against opening a
// session for replayed hellos.
TEST (Session, AcceptorRejectsWrongSecretAndReplayedHello)
{
  Pair wrong_secret ("guess", "secret");
  Pair::deliver (wrong_secret.acceptor,
                 Pair::take_output (wrong_secret.connector));
  EXPECT_EQ (LT_CLOSE_BAD_MAC, wrong_secret.acceptor.closed);
  EXPECT_EQ ("", Pair::take_output (wrong_secret.acceptor));

  Pair first;
  std::string hello = Pair::take_output (first.connector);
  Pair::deliver (first.acceptor, hello);
  Pair::deliver (first.connector, Pair::take_output (first.acceptor));
  std::string confirm = Pair::take_output (first.connector);
  Pair second;
  lt_session_options_t options = {};
  options.self = { STR_LIT ("vm-2"), 7, STR_LIT ("vest"), STR_LIT ("vest-a"),
                   STR_LIT ("127.0.0.1:9002") };
  options.secret = STR_LIT ("secret");
  options.nonce[0] = 3;
  Side replayed;
  replayed.session = lt_session_create (&options);
  Pair::deliver (replayed, hello + confirm);
  EXPECT_FALSE (replayed.open);
  EXPECT_EQ (LT_CLOSE_BAD_MAC, replayed.closed);
  lt_session_destroy (replayed.session);
}

// Guards against a VM that connects to itself because its own address is a
// seed.
TEST (Session, RefusesConnectionToItself)
{
  Pair pair ("secret", "secret", "vm-2");
  Pair::deliver (pair.acceptor, Pair::take_output (pair.connector));
  EXPECT_EQ (LT_CLOSE_WRONG_SENDER, pair.acceptor.closed);
}

// Guards against each kind of damaged frame in an open session; other sessions
// stay open.
TEST (Session, ClosesOnDamagedFrameWithReason)
{
  using Damage = std::function<std::string (std::string)>;
  struct
  {
    const char *name;
    Damage damage;
    bool end;
    lt_close_reason_t reason;
  } cases[] = {
    { "bit of the body", [] (std::string f) { return f.back () ^= 1, f; },
      false, LT_CLOSE_BAD_MAC },
    { "bit of the MAC", [] (std::string f) { return f[9] ^= 1, f; }, false,
      LT_CLOSE_BAD_MAC },
    { "replayed", [] (std::string f) { return f + f; }, false,
      LT_CLOSE_BAD_MAC },
    { "truncated", [] (std::string f) { return f.substr (0, f.size () - 1); },
      true, LT_CLOSE_TRUNCATED },
    { "cut in the length", [] (std::string f) { return f.substr (0, 3); },
      true, LT_CLOSE_TRUNCATED },
    { "oversize",
      [] (std::string) { return std::string ("\x00\x10\x00\x01", 4); }, false,
      LT_CLOSE_TOO_LARGE },
    { "no body",
      [] (std::string) { return std::string ("\x00\x00\x00\x20", 4); }, false,
      LT_CLOSE_TOO_SMALL },
    { "undamaged end", [] (std::string f) { return f; }, true, LT_CLOSE_NONE }
  };
  Pair other;
  other.handshake ();
  for (const auto &c : cases)
    {
      Pair pair;
      pair.handshake ();
      lt_session_send (pair.connector.session, LT_MESSAGE_EVIDENCE, 1,
                       STR_LIT ("payload"));
      Pair::deliver (pair.acceptor,
                     c.damage (Pair::take_output (pair.connector)));
      if (c.end)
        {
          lt_session_receive_end (pair.acceptor.session);
          Pair::handle_events (pair.acceptor);
        }
      EXPECT_EQ (c.reason, pair.acceptor.closed) << c.name;
      EXPECT_EQ (1u, pair.counts.closed[c.reason]) << c.name;
      EXPECT_EQ (-LT_EUNAVAILABLE,
                 lt_session_send (pair.acceptor.session, LT_MESSAGE_EVIDENCE,
                                  0, STR_LIT ("")));
    }
  lt_session_send (other.connector.session, LT_MESSAGE_EVIDENCE, 1,
                   STR_LIT ("still"));
  Pair::deliver (other.acceptor, Pair::take_output (other.connector));
  EXPECT_EQ (1u, other.acceptor.payloads.size ());
}

// Guards against bodies with a valid MAC that are not frames of this
// version.
TEST (Frame, RefusesMalformedBodyWithValidMac)
{
  lt_digest_t key = lt_digest_make (STR_LIT ("k"), STR_LIT ("d"));
  lt_frame_t good
      = { LT_MESSAGE_DRAIN, 1, STR_LIT ("vm-1"), 2, STR_LIT ("payload") };
  struct
  {
    const char *name;
    size_t offset; // Of the changed byte in the body; -1: append.
    unsigned char value;
    lt_close_reason_t reason;
  } cases[] = { { "version 2", 1, 2, LT_CLOSE_BAD_VERSION },
                { "version 0", 1, 0, LT_CLOSE_BAD_VERSION },
                { "type 0", 2, 0, LT_CLOSE_BAD_TYPE },
                { "unknown type", 2, LT_MESSAGE_TYPE_END, LT_CLOSE_BAD_TYPE },
                { "seven fields", 0, 0x97, LT_CLOSE_BAD_BODY },
                { "map", 0, 0x86, LT_CLOSE_BAD_BODY },
                { "sender nil", 4, 0xc0, LT_CLOSE_BAD_BODY },
                { "trailing byte", (size_t)-1, 0, LT_CLOSE_BAD_BODY } };
  for (const auto &c : cases)
    {
      lt_buf_t sealed = {};
      ASSERT_EQ (0, lt_frame_encode (&key, 3, &good, &sealed));
      std::string body (sealed.data + 36, sealed.len - 36);
      if (c.offset == (size_t)-1)
        body.push_back ((char)c.value);
      else
        body[c.offset] = (char)c.value;
      lt_digest_t mac = lt_digest_make (
          str_make ((const char *)key.bytes, LT_DIGEST_BYTES),
          view (std::string ("\0\0\0\0\0\0\0\3", 8) + body));
      size_t len = 32 + body.size ();
      std::string frame = { 0, 0, (char)(len >> 8), (char)len };
      frame.append ((const char *)mac.bytes, LT_DIGEST_BYTES);
      frame += body;
      lt_frame_t out;
      lt_close_reason_t reason = LT_CLOSE_NONE;
      EXPECT_EQ (-1, lt_frame_decode (&key, 3, LT_FRAME_MAX_BYTES,
                                      view (frame), &out, &reason))
          << c.name;
      EXPECT_EQ (c.reason, reason) << c.name;
      lt_buf_destroy (&sealed);
    }
}

// Guards the maximum size of frames that this side sends.
TEST (Frame, RefusesToEncodeOversizedFrame)
{
  lt_digest_t key = lt_digest_make (STR_LIT ("k"), STR_LIT ("d"));
  std::string big (LT_FRAME_MAX_BYTES, 'x');
  lt_frame_t frame = { LT_MESSAGE_DRAIN, 1, STR_LIT ("vm-1"), 2, view (big) };
  lt_buf_t out = {};
  EXPECT_EQ (-LT_ETOOBIG, lt_frame_encode (&key, 0, &frame, &out));
  EXPECT_EQ (0u, out.len);
  lt_buf_destroy (&out);
}

// Guards against crashes, endless loops and decoded frames when random bytes
// arrive during the handshake or in an open session.
TEST (Session, SurvivesRandomBytes)
{
  const uint64_t seed = 20261204;
  lt_rng_t rng;
  lt_rng_init (&rng, seed);
  for (int round = 0; round < 2000; round++)
    {
      Pair pair;
      if (round % 2 == 0)
        pair.handshake ();
      std::string noise;
      size_t len = 40 + lt_rng_below (&rng, 200);
      while (noise.size () < len)
        noise.push_back ((char)lt_rng_next (&rng));
      if (round % 3 == 0) // A plausible length, so that the MAC is reached.
        noise.replace (0, 4, std::string ({ 0, 0, 0, 34 }));
      Pair::deliver (pair.acceptor, noise);
      lt_session_receive_end (pair.acceptor.session);
      Pair::handle_events (pair.acceptor);
      EXPECT_NE (LT_CLOSE_NONE, pair.acceptor.closed) << seed << " " << round;
      EXPECT_TRUE (pair.acceptor.payloads.empty ());
    }
}

static std::string
encode_sample (size_t kind)
{
  lt_buf_t out = {};
  static lt_wire_heartbeat_t beat;
  beat = {};
  beat.member_digest = 99;
  beat.page_after = STR_LIT ("vm-0");
  beat.page = 2;
  beat.report.query_id = 4;
  beat.report.confirm_age_us = -1;
  beat.report.attestation_count = 1;
  beat.report.attestations[0]
      = { STR_LIT ("vm-7"), STR_LIT ("vest-a"), true, 12, 300 };
  beat.update_count = 2;
  for (uint32_t i = 0; i < 2; i++)
    beat.updates[i]
        = { STR_LIT ("vm-3"),        1ull << 60,       i,
            STR_LIT ("127.0.0.1:1"), STR_LIT ("vest"), STR_LIT ("") };
  lt_wire_probe_request_t request
      = { STR_LIT ("vm-9"), STR_LIT ("127.0.0.1:2") };
  lt_wire_probe_result_t result = { STR_LIT ("vm-9"), true };
  lt_wire_snapshot_get_t get = { 12, 65536 };
  lt_wire_snapshot_data_t data = { 12, 10, 20, STR_LIT ("0123456789") };
  lt_wire_drain_t drain = { STR_LIT ("up-1"), 2, 44 };
  lt_wire_quarantine_t quarantine
      = { STR_LIT ("0123456789abcdef0123456789abcdef"),
          60000000,
          1,
          false,
          { 7, UINT64_MAX },
          2 };
  lt_wire_upstream_updates_t news
      = { { { UINT64_MAX, 3, 1, 2, 0 }, { 5, 0, 0, 1, 6400 } }, 2 };
  lt_wire_quota_tokens_t tokens = { 77, 1, 123456789 };
  static lt_wire_quota_shares_t shares;
  shares = { 12, 3, 8, 44, { { 77, 9000, 250000 }, { 78, 0, 0 } }, 2 };
  switch (kind)
    {
    case 0:
      lt_wire_heartbeat_encode (&beat, &out);
      break;
    case 1:
      lt_wire_probe_request_encode (&request, &out);
      break;
    case 2:
      lt_wire_probe_result_encode (&result, &out);
      break;
    case 3:
      lt_wire_snapshot_get_encode (&get, &out);
      break;
    case 4:
      lt_wire_snapshot_data_encode (&data, &out);
      break;
    case 5:
      lt_wire_drain_encode (&drain, &out);
      break;
    case 6:
      lt_wire_quarantine_encode (&quarantine, &out);
      break;
    case 7:
      lt_wire_upstream_updates_encode (&news, &out);
      break;
    case 8:
      lt_wire_quota_tokens_encode (&tokens, &out);
      break;
    default:
      lt_wire_quota_shares_encode (&shares, &out);
    }
  std::string bytes (out.data, out.len);
  lt_buf_destroy (&out);
  return bytes;
}

// Decodes BYTES as a message of KIND and encodes the result to AGAIN.
static int
decode (size_t kind, const std::string &bytes, std::string *again)
{
  static lt_wire_heartbeat_t beat;
  lt_wire_probe_request_t request;
  lt_wire_probe_result_t result;
  lt_wire_snapshot_get_t get;
  lt_wire_snapshot_data_t data;
  lt_wire_drain_t drain;
  lt_wire_quarantine_t quarantine;
  lt_wire_upstream_updates_t news;
  lt_wire_quota_tokens_t tokens;
  static lt_wire_quota_shares_t shares;
  lt_buf_t out = {};
  int rc = 0;
#define RECODE(n, decode_message, encode_message, value)                      \
  if (kind == (n) && (rc = decode_message (view (bytes), &(value))) == 0)     \
  encode_message (&(value), &out)
  RECODE (0, lt_wire_heartbeat_decode, lt_wire_heartbeat_encode, beat);
  RECODE (1, lt_wire_probe_request_decode, lt_wire_probe_request_encode,
          request);
  RECODE (2, lt_wire_probe_result_decode, lt_wire_probe_result_encode, result);
  RECODE (3, lt_wire_snapshot_get_decode, lt_wire_snapshot_get_encode, get);
  RECODE (4, lt_wire_snapshot_data_decode, lt_wire_snapshot_data_encode, data);
  RECODE (5, lt_wire_drain_decode, lt_wire_drain_encode, drain);
  RECODE (6, lt_wire_quarantine_decode, lt_wire_quarantine_encode, quarantine);
  RECODE (7, lt_wire_upstream_updates_decode, lt_wire_upstream_updates_encode,
          news);
  RECODE (8, lt_wire_quota_tokens_decode, lt_wire_quota_tokens_encode, tokens);
  RECODE (9, lt_wire_quota_shares_decode, lt_wire_quota_shares_encode, shares);
#undef RECODE
  if (rc == 0)
    again->assign (out.data, out.len);
  lt_buf_destroy (&out);
  return rc;
}

// Guards the round trip of each payload, and against accepting one that is cut
// short or has trailing bytes.  Damaged payloads must decode or fail with
// -LT_EPROTO.
TEST (Message, RoundTripsAndRefusesDamage)
{
  lt_rng_t rng;
  lt_rng_init (&rng, 7);
  for (size_t kind = 0; kind <= 9; kind++)
    {
      std::string bytes = encode_sample (kind);
      std::string again;
      ASSERT_EQ (0, decode (kind, bytes, &again)) << kind;
      EXPECT_EQ (bytes, again) << kind;
      for (size_t cut = 0; cut < bytes.size (); cut++)
        EXPECT_EQ (-LT_EPROTO, decode (kind, bytes.substr (0, cut), &again))
            << kind << " " << cut;
      EXPECT_EQ (-LT_EPROTO, decode (kind, bytes + "\x01", &again)) << kind;
      for (int round = 0; round < 2000; round++)
        {
          std::string damaged = bytes;
          damaged[lt_rng_below (&rng, damaged.size ())]
              = (char)lt_rng_next (&rng);
          int rc = decode (kind, damaged, &again);
          EXPECT_TRUE (rc == 0 || rc == -LT_EPROTO);
        }
    }
}

// Without rates a message is as VMs of earlier versions encode and accept it.
TEST (Message, UpdatesWithoutRatesKeepTheirForm)
{
  lt_wire_upstream_updates_t updates
      = { { { 7, 3, 1, 2, 0 }, { 5, 0, 0, 1, 0 } }, 2 };
  lt_buf_t out = {};
  lt_wire_upstream_updates_encode (&updates, &out);
  EXPECT_EQ (std::string ("\x98\x07\x03\x01\x02\x05\x00\x00\x01", 9),
             std::string (out.data, out.len));
  lt_buf_clear (&out);
  updates.items[0].rate_milli_per_s = 1500;
  updates.items[1].rate_milli_per_s = 300;
  lt_wire_upstream_updates_encode (&updates, &out);
  lt_wire_upstream_updates_t decoded = {};
  ASSERT_EQ (0, lt_wire_upstream_updates_decode (lt_buf_str (&out), &decoded));
  EXPECT_EQ (1500, decoded.items[0].rate_milli_per_s);
  EXPECT_EQ (300, decoded.items[1].rate_milli_per_s);
  lt_buf_destroy (&out);
}

// Guards against rejections that get lost, with and without rates.
TEST (Message, UpdatesCarryRejections)
{
  for (int64_t rate : { 0, 1500 })
    {
      lt_wire_upstream_updates_t updates
          = { { { 7, 3, 1, 2, rate, 0 }, { 5, 0, 0, 1, 0, 4 } }, 2 };
      lt_buf_t out = {};
      lt_wire_upstream_updates_encode (&updates, &out);
      lt_wire_upstream_updates_t decoded = {};
      ASSERT_EQ (
          0, lt_wire_upstream_updates_decode (lt_buf_str (&out), &decoded));
      EXPECT_EQ (rate, decoded.items[0].rate_milli_per_s);
      EXPECT_EQ (0u, decoded.items[0].rejections);
      EXPECT_EQ (4u, decoded.items[1].rejections);
      EXPECT_EQ (0, decoded.items[1].rate_milli_per_s);
      lt_buf_destroy (&out);
    }
}

// Guards the reader against arrays longer than the input, values out of range,
// and containers in place of scalars.
TEST (Unpack, RefusesOutOfBounds)
{
  struct
  {
    const char *name;
    std::string bytes;
    std::function<void (lt_unpack_t *)> read;
  } cases[] = {
    { "array of 4 billion", std::string ("\xdd\xff\xff\xff\xff", 5),
      [] (lt_unpack_t *in) { lt_unpack_array (in, 0, UINT32_MAX); } },
    { "array above max", std::string ("\x93\x01\x02\x03", 4),
      [] (lt_unpack_t *in) { lt_unpack_array (in, 0, 2); } },
    { "array header cut", std::string ("\xdc\x00", 2),
      [] (lt_unpack_t *in) { lt_unpack_array (in, 0, 9); } },
    { "array as integer", std::string ("\xdd\xff\xff\xff\xff", 5),
      [] (lt_unpack_t *in) { lt_unpack_u64 (in, 9); } },
    { "map as string", std::string ("\xdf\xff\xff\xff\xff", 5),
      [] (lt_unpack_t *in) { lt_unpack_str (in, 9); } },
    { "extension", std::string ("\xd4\x01\x01", 3),
      [] (lt_unpack_t *in) { lt_unpack_bin (in, 9); } },
    { "negative as unsigned", std::string ("\xff", 1),
      [] (lt_unpack_t *in) { lt_unpack_u64 (in, UINT64_MAX); } },
    { "above max", std::string ("\x0a", 1),
      [] (lt_unpack_t *in) { lt_unpack_u64 (in, 9); } },
    { "above int64", std::string ("\xcf\xff\xff\xff\xff\xff\xff\xff\xff", 9),
      [] (lt_unpack_t *in) { lt_unpack_i64 (in, -1, INT64_MAX); } },
    { "text too long", std::string ("\xa3xyz", 4),
      [] (lt_unpack_t *in) { lt_unpack_str (in, 2); } },
    { "text not UTF-8", std::string ("\xa1\xff", 2),
      [] (lt_unpack_t *in) { lt_unpack_str (in, 2); } },
    { "text as bytes", std::string ("\xa1x", 2),
      [] (lt_unpack_t *in) { lt_unpack_bin (in, 2); } },
    { "not a number", std::string ("\xcb\x7f\xf8\x00\x00\x00\x00\x00\x00", 9),
      [] (lt_unpack_t *in) { lt_unpack_double (in); } },
    { "integer as bool", std::string ("\x01", 1),
      [] (lt_unpack_t *in) { lt_unpack_bool (in); } }
  };
  for (const auto &c : cases)
    {
      lt_unpack_t in;
      lt_unpack_init (&in, view (c.bytes));
      c.read (&in);
      EXPECT_EQ (-LT_EPROTO, in.error) << c.name;
      EXPECT_EQ (-LT_EPROTO, lt_unpack_end (&in)) << c.name;
      EXPECT_EQ (0u, lt_unpack_u64 (&in, 9)) << c.name;
    }
}
