/** @file
    Payloads of the messages that this package defines.  Encoders append to a
    buffer; decoders are strict (no unknown enumerators, no bytes left over)
    and return 0 or -LT_EPROTO.  Views of a decoded message point into the
    payload.  */
#ifndef LT_WIRE_MESSAGE_H
#define LT_WIRE_MESSAGE_H

#include "lt/base/str.h"

#ifdef __cplusplus
extern "C"
{
#endif

/** Bounds of one heartbeat; a page of a full exchange has up to this many
    updates.  */
#define LT_WIRE_UPDATES_MAX 128
#define LT_WIRE_ATTESTATIONS_MAX 6
/** Snapshot bytes in one snapshot_data frame.  */
#define LT_WIRE_CHUNK_MAX_BYTES (256 * 1024)
/** Bound of a whole snapshot.  */
#define LT_WIRE_SNAPSHOT_MAX_BYTES (64LL * 1024 * 1024)

  /** State of one VM as a peer sees it.  The last three texts are empty where
      they are not needed (suspect, dead).  */
  typedef struct lt_wire_member
  {
    str_t id;
    uint64_t incarnation;
    uint32_t state; /**< lt_member_state_t, 0 to 3. */
    str_t address;
    str_t region;
    str_t failure_domain;
  } lt_wire_member_t;

  /** What a VM of the store's region saw of the store.  */
  typedef struct lt_wire_attestation
  {
    str_t vm_id;
    str_t failure_domain;
    bool failing;          /**< Its read failed; else it succeeded. */
    int64_t known_version; /**< Highest accepted version it knew of. */
    int64_t age_us;        /**< Since it sent that read. */
  } lt_wire_attestation_t;

  /** Knowledge of the configuration's order, sent with each heartbeat.  */
  typedef struct lt_wire_report
  {
    uint64_t ask_id; /**< Of the question; echoed in the answer; 0: no
                        question. */
    int64_t held_us; /**< From receipt of the question to this answer. */
    int64_t applied_version;
    int64_t known_version;    /**< Highest accepted version known. */
    int64_t possible_version; /**< A write that may take effect; 0: none. */
    uint64_t possible_origin; /**< Tells writes of one version apart. */
    int64_t possible_age_us;  /**< Since the write was announced. */
    int64_t confirm_version;  /**< Head of the store when confirmed. */
    int64_t confirm_age_us;   /**< -1: never confirmed. */
    lt_wire_attestation_t attestations[LT_WIRE_ATTESTATIONS_MAX];
    uint32_t attestation_count;
  } lt_wire_report_t;

  /** Payload of heartbeat and heartbeat_ack.  */
  typedef struct lt_wire_heartbeat
  {
    uint64_t member_digest; /**< Equal views have equal digests. */
    uint32_t member_count;
    str_t page_after; /**< Asks for (in an ack: answers) members with ids above
                         this. */
    uint32_t page;    /**< 0: none, 1: asked, 2: answered, 3: answered, last.
                       */
    lt_wire_report_t report;
    lt_wire_member_t updates[LT_WIRE_UPDATES_MAX];
    uint32_t update_count;
  } lt_wire_heartbeat_t;

  void lt_wire_heartbeat_encode (const lt_wire_heartbeat_t *message,
                                 lt_buf_t *out);
  int lt_wire_heartbeat_decode (str_t payload, lt_wire_heartbeat_t *message);

  /** Payload of probe_request: probe the VM for the sender.  */
  typedef struct lt_wire_probe_request
  {
    str_t target;
    str_t address;
  } lt_wire_probe_request_t;

  void lt_wire_probe_request_encode (const lt_wire_probe_request_t *message,
                                     lt_buf_t *out);
  int lt_wire_probe_request_decode (str_t payload,
                                    lt_wire_probe_request_t *message);

  typedef struct lt_wire_probe_result
  {
    str_t target;
    bool reached;
  } lt_wire_probe_result_t;

  void lt_wire_probe_result_encode (const lt_wire_probe_result_t *message,
                                    lt_buf_t *out);
  int lt_wire_probe_result_decode (str_t payload,
                                   lt_wire_probe_result_t *message);

  /** Asks for a snapshot from OFFSET_BYTES on.  */
  typedef struct lt_wire_snapshot_get
  {
    int64_t version;
    int64_t offset_bytes;
  } lt_wire_snapshot_get_t;

  void lt_wire_snapshot_get_encode (const lt_wire_snapshot_get_t *message,
                                    lt_buf_t *out);
  int lt_wire_snapshot_get_decode (str_t payload,
                                   lt_wire_snapshot_get_t *message);

  /** A chunk.  TOTAL_BYTES 0: the sender does not have this version.  */
  typedef struct lt_wire_snapshot_data
  {
    int64_t version;
    int64_t offset_bytes;
    int64_t total_bytes;
    str_t bytes;
  } lt_wire_snapshot_data_t;

  void lt_wire_snapshot_data_encode (const lt_wire_snapshot_data_t *message,
                                     lt_buf_t *out);
  int lt_wire_snapshot_data_decode (str_t payload,
                                    lt_wire_snapshot_data_t *message);

  /** An upstream changes its state.  */
  typedef struct lt_wire_drain
  {
    str_t upstream;
    uint32_t state; /**< 0: serving, 1: draining, 2: stopped. */
    int64_t version;
  } lt_wire_drain_t;

  void lt_wire_drain_encode (const lt_wire_drain_t *message, lt_buf_t *out);
  int lt_wire_drain_decode (str_t payload, lt_wire_drain_t *message);

/** Length of a quarantine fingerprint.  */
#define LT_WIRE_FINGERPRINT_BYTES 32
/** Bound of the upstreams lost to one fingerprint.  */
#define LT_WIRE_LOSSES_MAX 4

  typedef struct lt_wire_quarantine
  {
    str_t fingerprint; /**< LT_WIRE_FINGERPRINT_BYTES bytes. */
    int64_t left_us;   /**< Time until the quarantine or suspicion ends. */
    uint32_t round;    /**< How often it was quarantined; 0: only suspect. */
    bool cleared;      /**< It got a response: no longer suspect. */
    uint64_t upstreams[LT_WIRE_LOSSES_MAX]; /**< Lost, by name hash. */
    uint32_t count;
  } lt_wire_quarantine_t;

  void lt_wire_quarantine_encode (const lt_wire_quarantine_t *message,
                                  lt_buf_t *out);
  int lt_wire_quarantine_decode (str_t payload, lt_wire_quarantine_t *message);

/** Bound of the upstreams in one news message.  */
#define LT_WIRE_NEWS_MAX 64

  /** What a VM saw of one upstream since its last news.  */
  typedef struct lt_wire_news_item
  {
    uint64_t upstream;  /**< Hash of name and incarnation. */
    uint32_t in_flight; /**< Of this VM, now. */
    uint32_t good;
    uint32_t bad;
  } lt_wire_news_item_t;

  typedef struct lt_wire_news
  {
    lt_wire_news_item_t items[LT_WIRE_NEWS_MAX];
    uint32_t count;
  } lt_wire_news_t;

  void lt_wire_news_encode (const lt_wire_news_t *message, lt_buf_t *out);
  int lt_wire_news_decode (str_t payload, lt_wire_news_t *message);

  /** Payload of quota_ask and quota_grant; the frame's correlation pairs
      them.  */
  typedef struct lt_wire_quota_tokens
  {
    uint64_t workspace; /**< lt_hash64 of the name; 0: only a sign of life. */
    uint32_t count;     /**< Requests asked for, or admitted. */
    int64_t home_us;    /**< Clock of the home: of this grant, or in an ask of
                           the last grant; 0: none. */
  } lt_wire_quota_tokens_t;

  void lt_wire_quota_tokens_encode (const lt_wire_quota_tokens_t *message,
                                    lt_buf_t *out);
  int lt_wire_quota_tokens_decode (str_t payload,
                                   lt_wire_quota_tokens_t *message);

/** Bound of the workspaces in one table of shares.  */
#define LT_WIRE_QUOTA_MAX 1024

  typedef struct lt_wire_quota_share
  {
    uint64_t workspace;
    uint64_t demand_milli; /**< Report: requests in 1,000 s. */
    uint32_t ppm;          /**< Report: share in use; else the share given. */
  } lt_wire_quota_share_t;

  /** Payload of quota_report and quota_shares.  */
  typedef struct lt_wire_quota_shares
  {
    int64_t parent_us; /**< Clock of the parent: of these shares, or in a
                          report of the last ones; 0: none. */
    uint64_t serial;   /**< Of these shares, or of the last ones in use. */
    uint32_t members;  /**< Report: VMs that the sender speaks for. */
    uint32_t vms;      /**< VMs that the sender knows, itself included. */
    lt_wire_quota_share_t items[LT_WIRE_QUOTA_MAX];
    uint32_t count;
  } lt_wire_quota_shares_t;

  void lt_wire_quota_shares_encode (const lt_wire_quota_shares_t *message,
                                    lt_buf_t *out);
  int lt_wire_quota_shares_decode (str_t payload,
                                   lt_wire_quota_shares_t *message);

#ifdef __cplusplus
}
#endif

#endif
