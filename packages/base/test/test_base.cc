// Guards the primitives that every other package builds on.
#include <gtest/gtest.h>

#include <cstring>
#include <string>

#include "lt/base/clock.h"
#include "lt/base/error.h"
#include "lt/base/finding.h"
#include "lt/base/hash.h"
#include "lt/base/metrics.h"
#include "lt/base/rng.h"
#include "lt/base/str.h"

static str_t
view (const std::string &s)
{
  return str_make (s.data (), s.size ());
}

// Guards against accepting malformed numbers or letting them wrap around.
TEST (Str, ParsesIntegersStrictly)
{
  struct
  {
    const char *text;
    int result;
    int64_t value;
  } cases[] = { { "0", 0, 0 },
                { "-17", 0, -17 },
                { "9223372036854775807", 0, INT64_MAX },
                { "9223372036854775808", -LT_ERANGE, 0 },
                { "", -LT_EINVAL, 0 },
                { "-", -LT_EINVAL, 0 },
                { "1 ", -LT_EINVAL, 0 },
                { "0x1", -LT_EINVAL, 0 } };
  for (const auto &c : cases)
    {
      int64_t value = 0;
      EXPECT_EQ (c.result, str_to_i64 (str_from (c.text), &value)) << c.text;
      EXPECT_EQ (c.value, value) << c.text;
    }
}

TEST (Str, ParsesThousandths)
{
  struct
  {
    const char *text;
    int result;
    int64_t value;
  } cases[] = { { "2", 0, 2000 },
                { "0.75", 0, 750 },
                { "6.4", 0, 6400 },
                { "1.23456", 0, 1234 },
                { "0", 0, 0 },
                { "", -LT_EINVAL, -1 },
                { ".5", -LT_EINVAL, -1 },
                { "5.", -LT_EINVAL, -1 },
                { "-1", -LT_EINVAL, -1 },
                { "1e3", -LT_EINVAL, -1 },
                { "1.2.3", -LT_EINVAL, -1 },
                { "nan", -LT_EINVAL, -1 },
                { "9223372036854775807", -LT_ERANGE, -1 },
                { "99999999999999999999", -LT_ERANGE, -1 } };
  for (const auto &c : cases)
    {
      int64_t value = -1;
      EXPECT_EQ (c.result, str_to_milli (str_from (c.text), &value)) << c.text;
      EXPECT_EQ (c.value, value) << c.text;
    }
}

// Guards against overlong forms and surrogates passing as UTF-8.
TEST (Str, ChecksUtf8)
{
  struct
  {
    std::string text;
    bool ok;
  } cases[] = { { "Kova\xc4\x8di\xc4\x8d", true },
                { "\xf0\x9f\x98\x80", true },
                { "\xc0\x80", false },
                { "\xed\xa0\x80", false },
                { "\xf4\x90\x80\x80", false },
                { "\xe2\x82", false },
                { "\x80", false },
                { "", true } };
  for (const auto &c : cases)
    EXPECT_EQ (c.ok, str_is_utf8 (view (c.text))) << c.text;
}

TEST (Str, SplitsAndTrims)
{
  str_t rest;
  str_t head = str_split (STR_LIT ("a|b|c"), '|', &rest);
  EXPECT_TRUE (str_equal (head, STR_LIT ("a")));
  EXPECT_TRUE (str_equal (rest, STR_LIT ("b|c")));
  str_split (STR_LIT ("c"), '|', &rest);
  EXPECT_EQ (nullptr, rest.data);
  EXPECT_TRUE (
      str_equal (str_trim (STR_LIT (" \t x y\r\n")), STR_LIT ("x y")));
}

// Guards against a finding losing its place when it is printed.
TEST (Findings, PrintPlaceAndValue)
{
  lt_findings_t list = {};
  lt_findings_add (&list, LT_SEVERITY_ERROR, STR_LIT ("sheet.csv"), 3,
                   STR_LIT ("burst"), STR_LIT ("-1"), "a number above %d", 0);
  lt_findings_add (&list, LT_SEVERITY_WARNING, STR_LIT ("--listen"), 0,
                   STR_LIT (""), STR_LIT (""), "an address");
  lt_buf_t out = {};
  lt_findings_print (&list, &out);
  EXPECT_EQ ("sheet.csv:3: error: burst: \"-1\": a number above 0\n"
             "--listen: warning: an address\n",
             std::string (out.data, out.len));
  EXPECT_EQ (1u, lt_findings_errors (&list));
  lt_buf_destroy (&out);
  lt_findings_destroy (&list);
}

TEST (Hash, KeyedDigestDependsOnKeyAndData)
{
  lt_digest_t a = lt_digest_make (STR_LIT ("k1"), STR_LIT ("data"));
  lt_digest_t b = lt_digest_make (STR_LIT ("k2"), STR_LIT ("data"));
  lt_digest_t c = lt_digest_make (STR_LIT ("k1"), STR_LIT ("datb"));
  EXPECT_FALSE (lt_digest_equal (&a, &b));
  EXPECT_FALSE (lt_digest_equal (&a, &c));
  char hex[65];
  lt_digest_hex (&a, hex);
  lt_digest_t back;
  ASSERT_EQ (0, lt_digest_parse (str_from (hex), &back));
  EXPECT_TRUE (lt_digest_equal (&a, &back));
  EXPECT_EQ (-LT_EINVAL, lt_digest_parse (STR_LIT ("zz"), &back));
}

// Guards against placement that moves keys between nodes that both stay.
TEST (Hash, RendezvousMovesOnlyKeysOfTheRemovedNode)
{
  const char *nodes[] = { "a", "b", "c", "d" };
  int owned[4] = {};
  for (int k = 0; k < 2000; k++)
    {
      std::string key = "key" + std::to_string (k);
      int best = -1, without_d = -1;
      for (int n = 0; n < 4; n++)
        {
          uint64_t w = lt_rendezvous (view (key), str_from (nodes[n]));
          auto weight = [&] (int i) {
            return lt_rendezvous (view (key), str_from (nodes[i]));
          };
          if (best < 0 || w > weight (best))
            best = n;
          if (n < 3 && (without_d < 0 || w > weight (without_d)))
            without_d = n;
        }
      owned[best]++;
      if (best != 3)
        {
          EXPECT_EQ (best, without_d);
        }
    }
  for (int n = 0; n < 4; n++)
    EXPECT_NEAR (500, owned[n], 120);
}

// Guards against quantiles that are off by more than the stated 1/16.
TEST (Metrics, HistogramQuantileWithinOneSixteenth)
{
  lt_histogram_t *h = new lt_histogram_t ();
  for (int64_t v = 1; v <= 100000; v++)
    lt_histogram_add (h, v);
  for (double q : { 0.01, 0.5, 0.9, 0.99, 0.999 })
    EXPECT_NEAR (1.0, (double)lt_histogram_quantile (h, q) / (q * 100000),
                 1.0 / 16)
        << q;
  delete h;
}

TEST (Metrics, PrintsPrometheusText)
{
  lt_metrics_t *m = lt_metrics_create ();
  lt_metrics_counter (m, "lt_refused_total", "Refusals.", "reason=\"x\"")
      ->value
      = 3;
  EXPECT_EQ (3u, lt_metrics_counter (m, "lt_refused_total", "Refusals.",
                                     "reason=\"x\"")
                     ->value);
  lt_histogram_add (lt_metrics_histogram (m, "lt_time_seconds", "Time.", ""),
                    300);
  lt_buf_t out = {};
  lt_metrics_print (m, &out);
  std::string text (out.data, out.len);
  EXPECT_NE (std::string::npos,
             text.find ("# TYPE lt_refused_total counter\n"
                        "lt_refused_total{reason=\"x\"} 3\n"));
  EXPECT_NE (std::string::npos,
             text.find ("lt_time_seconds_bucket{le=\"0.00025\"} 0\n"));
  EXPECT_NE (std::string::npos,
             text.find ("lt_time_seconds_bucket{le=\"0.0005\"} 1\n"));
  lt_buf_destroy (&out);
  lt_metrics_destroy (m);
}

TEST (Clock, ManualClockMovesOnlyWhenTold)
{
  lt_manual_clock_t clock;
  lt_manual_clock_init (&clock, 5);
  EXPECT_EQ (5, lt_clock_now_us (&clock.base));
  lt_manual_clock_advance (&clock, 10);
  EXPECT_EQ (15, lt_clock_now_us (&clock.base));
}

TEST (Rng, SameSeedSameNumbers)
{
  lt_rng_t a, b;
  lt_rng_init (&a, 7);
  lt_rng_init (&b, 7);
  for (int i = 0; i < 100; i++)
    {
      EXPECT_EQ (lt_rng_next (&a), lt_rng_next (&b));
      EXPECT_LT (lt_rng_below (&a, 10), 10u);
      lt_rng_below (&b, 10);
    }
}

// A body's charge is the room that was made for it, so no more may be taken.
TEST (Buf, ReserveAndShrinkAreExact)
{
  lt_buf_t buf = {};
  lt_buf_reserve (&buf, 1000);
  EXPECT_EQ (1001u, buf.cap);
  std::string text (1000, 'x');
  lt_buf_append (&buf, text.data (), text.size ());
  EXPECT_EQ (1001u, buf.cap);
  lt_buf_reserve (&buf, 10);
  EXPECT_EQ (1001u, buf.cap);
  lt_buf_consume (&buf, 900);
  lt_buf_shrink (&buf, 50);
  EXPECT_EQ (101u, buf.cap);
  EXPECT_EQ (std::string (100, 'x'), std::string (buf.data, buf.len));
  lt_buf_destroy (&buf);
}
