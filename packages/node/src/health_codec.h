/** @file
    Encoding of the ejection record and of the messages evidence (8) and
    ejections (9).  The record names upstreams, since it outlives
    configurations.  Messages use indexes and carry a hash of the service's
    upstreams, by which the receiver detects a different configuration.  */
#ifndef LT_NODE_HEALTH_CODEC_H
#define LT_NODE_HEALTH_CODEC_H

#include "lt/base/str.h"
#include "lt/policy/health_record.h"

#define LT_HEALTH_UPSTREAMS_MAX 4096

#ifdef __cplusplus
extern "C"
{
#endif

  /** Translates between names and indexes; USER is the service.  */
  typedef struct lt_health_names
  {
    const void *user;
    /** Returns the name of an index.  */
    str_t (*name) (const void *user, uint32_t index);
    /** Returns the index of a name, or UINT32_MAX.  */
    uint32_t (*index) (const void *user, str_t name);
  } lt_health_names_t;

  void lt_health_record_encode (const lt_ejection_record_t *record,
                                const lt_health_names_t *names, lt_buf_t *out);
  /** Decodes all but the version, which the caller sets.  Entries with unknown
      names are left out and counted in *UNKNOWN.  Returns 0 or -LT_EPROTO.  */
  int lt_health_record_decode (str_t bytes, const lt_health_names_t *names,
                               lt_ejection_record_t *record,
                               uint32_t *unknown);

  /** Counts of one VM for one service.  */
  typedef struct lt_health_evidence_message
  {
    str_t service;
    str_t failure_domain; /**< Of the sender. */
    uint64_t upstreams_hash;
    int64_t record_version; /**< Record version that the sender uses. */
    lt_health_counts_t *counts;
    uint32_t count;
  } lt_health_evidence_message_t;

  void lt_health_evidence_encode (const lt_health_evidence_message_t *message,
                                  lt_buf_t *out);
  /** COUNTS has room for CAP entries.  Returns 0 or -LT_EPROTO.  */
  int lt_health_evidence_decode (str_t payload,
                                 lt_health_evidence_message_t *message,
                                 lt_health_counts_t *counts, uint32_t cap);

  /** The aggregator's response to evidence, also sent unrequested when there
      is a new record.  */
  typedef struct lt_health_ejections_message
  {
    str_t service;
    uint64_t upstreams_hash;
    int64_t version;
    int64_t age_us; /**< Time since the sender confirmed that VERSION is the
                       latest. */
    str_t record;   /**< Encoded; empty when the receiver has VERSION. */
    /** Requests in flight from all VMs, by upstream index.  */
    uint32_t *loads;
    uint32_t load_count;
  } lt_health_ejections_message_t;

  void
  lt_health_ejections_encode (const lt_health_ejections_message_t *message,
                              lt_buf_t *out);
  /** LOADS has room for CAP entries.  Returns 0 or -LT_EPROTO.  */
  int lt_health_ejections_decode (str_t payload,
                                  lt_health_ejections_message_t *message,
                                  uint32_t *loads, uint32_t cap);

#ifdef __cplusplus
}
#endif

#endif
