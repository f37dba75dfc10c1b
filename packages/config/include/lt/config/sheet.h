/** @file
    The operators' sheet: parses and checks CSV text and makes a snapshot.  */
#ifndef LT_CONFIG_SHEET_H
#define LT_CONFIG_SHEET_H

#include "lt/base/finding.h"
#include "lt/config/snapshot.h"

#ifdef __cplusplus
extern "C"
{
#endif

  typedef struct lt_sheet_options
  {
    str_t source;      /**< Name shown in findings. */
    str_t today;       /**< YYYY-MM-DD that the sheet must be for; empty: any.
                        */
    str_t hash_secret; /**< Key for the keyed hash of plain keys. */
    size_t max_findings; /**< Later findings are counted, not listed. */
    /** Also warn of entries that can never match and of limits that contradict
        each other.  */
    bool advise;
    int64_t request_ms; /**< Time that a request is taken to need, to compare
                           rates with slots; 0: do not. */
  } lt_sheet_options_t;

#define LT_SHEET_OPTIONS_DEFAULT ((lt_sheet_options_t){ .max_findings = 200 })

  /** Parses TEXT.  On success sets *SNAPSHOT (version 0) and returns 0;
     returns -LT_EFINDINGS with the errors in FINDINGS otherwise.  Warnings may
     be added in both cases.  */
  int lt_sheet_parse (str_t text, const lt_sheet_options_t *options,
                      lt_findings_t *findings, lt_snapshot_t **snapshot);

  /** Returns whether NAME can name a row: 1 to 128 bytes of UTF-8 without
      control characters and "|", and not "*".  */
  bool lt_name_is_valid (str_t name);

  /** Returns the keyed hash under which a caller's secret is stored.  */
  lt_digest_t lt_key_hash (str_t hash_secret, str_t secret);

#ifdef __cplusplus
}
#endif

#endif
