/** @file
    Payloads of the messages that this package defines.  Encoders append to a
    buffer.  Decoders accept no unknown enumerators and no trailing bytes, and
    return 0 or -LT_EPROTO.  Texts of a decoded message point into the
    payload.  */
#ifndef LT_WIRE_MESSAGE_H
#define LT_WIRE_MESSAGE_H

#include "lt/base/str.h"

#ifdef __cplusplus
extern "C"
{
#endif

/** Maximum number of membership updates in one heartbeat, also when it carries
    a page of a full list exchange.  */
#define LT_WIRE_UPDATES_MAX 128
/** Maximum number of attestations in one heartbeat.  */
#define LT_WIRE_ATTESTATIONS_MAX 6
/** Maximum number of snapshot bytes in one snapshot_data frame.  */
#define LT_WIRE_CHUNK_MAX_BYTES (256 * 1024)
/** Maximum size of a whole snapshot.  */
#define LT_WIRE_SNAPSHOT_MAX_BYTES (64LL * 1024 * 1024)

  /** Membership update: state of one VM in the sender's member list.  Address,
      region and failure domain may be empty when it is suspect or dead.  */
  typedef struct lt_wire_member
  {
    str_t id;
    uint64_t incarnation;
    uint32_t state; /**< lt_member_state_t, 0 to 3. */
    str_t address;
    str_t region;
    str_t failure_domain;
  } lt_wire_member_t;

  /** Result of the latest read of the store by a VM of its region.  */
  typedef struct lt_wire_attestation
  {
    str_t vm_id;
    str_t failure_domain;
    bool failing;          /**< The read failed; otherwise it succeeded. */
    int64_t known_version; /**< Highest accepted or possible version that the
                              VM had received. */
    int64_t age_us;        /**< Since the VM sent that read. */
  } lt_wire_attestation_t;

  /** Configuration versions and the freshness of the configuration on the
      sender, sent with each heartbeat; see lt/policy/freshness.h.  */
  typedef struct lt_wire_report
  {
    uint64_t query_id; /**< Id of the query, repeated in the answer; 0: not a
                        query. */
    int64_t answer_delay_us;  /**< From receipt of the query to this answer. */
    int64_t applied_version;  /**< Configuration that the sender uses. */
    int64_t known_version;    /**< Highest accepted version that the sender has
                                 received. */
    int64_t possible_version; /**< Version of an announced write that may take
                                 effect; 0: none. */
    uint64_t possible_write_id; /**< Random id that distinguishes writes of the
                                 same version. */
    int64_t possible_age_us;    /**< Since the write was announced. */
    int64_t confirm_version;    /**< Store's latest version when confirmed. */
    int64_t confirm_age_us;     /**< -1: never confirmed. */
    lt_wire_attestation_t attestations[LT_WIRE_ATTESTATIONS_MAX];
    uint32_t attestation_count;
  } lt_wire_report_t;

  /** Payload of heartbeat and heartbeat_ack.  */
  typedef struct lt_wire_heartbeat
  {
    uint64_t member_digest; /**< Equal member lists have equal digests. */
    uint32_t member_count;  /**< Live VMs in the sender's list. */
    /** Page of a full list exchange: 0 none; 1 requests the members with ids
        above page_after; 2 and 3, in acknowledgements: UPDATES holds a page
        whose last id is page_after, and 3 marks the last page.  */
    str_t page_after;
    uint32_t page;
    lt_wire_report_t report;
    lt_wire_member_t updates[LT_WIRE_UPDATES_MAX];
    uint32_t update_count;
  } lt_wire_heartbeat_t;

  void lt_wire_heartbeat_encode (const lt_wire_heartbeat_t *message,
                                 lt_buf_t *out);
  int lt_wire_heartbeat_decode (str_t payload, lt_wire_heartbeat_t *message);

  /** Payload of probe_request: asks the receiver to probe the VM TARGET.  */
  typedef struct lt_wire_probe_request
  {
    str_t target;
    str_t address;
  } lt_wire_probe_request_t;

  void lt_wire_probe_request_encode (const lt_wire_probe_request_t *message,
                                     lt_buf_t *out);
  int lt_wire_probe_request_decode (str_t payload,
                                    lt_wire_probe_request_t *message);

  /** Payload of probe_result: whether TARGET acknowledged the probe.  */
  typedef struct lt_wire_probe_result
  {
    str_t target;
    bool reached;
  } lt_wire_probe_result_t;

  void lt_wire_probe_result_encode (const lt_wire_probe_result_t *message,
                                    lt_buf_t *out);
  int lt_wire_probe_result_decode (str_t payload,
                                   lt_wire_probe_result_t *message);

  /** Payload of snapshot_get: requests the configuration snapshot VERSION from
      OFFSET_BYTES on.  In a hosted fleet VERSION is the one that the sender
     has in force, and it requests a later one.  */
  typedef struct lt_wire_snapshot_get
  {
    int64_t version;
    int64_t offset_bytes;
  } lt_wire_snapshot_get_t;

  void lt_wire_snapshot_get_encode (const lt_wire_snapshot_get_t *message,
                                    lt_buf_t *out);
  int lt_wire_snapshot_get_decode (str_t payload,
                                   lt_wire_snapshot_get_t *message);

  /** Payload of snapshot_data: a chunk of a snapshot.  TOTAL_BYTES 0: the
      sender does not have this version.  */
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

  typedef enum lt_wire_drain_state
  {
    LT_WIRE_DRAIN_SERVING,
    LT_WIRE_DRAIN_DRAINING,
    LT_WIRE_DRAIN_STOPPED
  } lt_wire_drain_state_t;

  /** Payload of drain: an upstream changes its state.  */
  typedef struct lt_wire_drain
  {
    str_t upstream;
    uint32_t state; /**< See lt_wire_drain_state_t. */
    /** Of the sender's snapshot; in a hosted fleet the incarnation of the
        upstream's process.  */
    int64_t version;
  } lt_wire_drain_t;

  void lt_wire_drain_encode (const lt_wire_drain_t *message, lt_buf_t *out);
  int lt_wire_drain_decode (str_t payload, lt_wire_drain_t *message);

/** Length of a quarantine fingerprint.  */
#define LT_WIRE_FINGERPRINT_BYTES 32
/** Maximum number of lost upstreams listed with one fingerprint.  */
#define LT_WIRE_LOST_UPSTREAMS_MAX 4

  /** Payload of quarantine: the fingerprint of a request that is suspect or
      quarantined, because connections to upstreams were lost before they
      responded to it.  */
  typedef struct lt_wire_quarantine
  {
    str_t fingerprint;    /**< LT_WIRE_FINGERPRINT_BYTES bytes. */
    int64_t remaining_us; /**< Time until the quarantine or suspicion ends. */
    uint32_t quarantine_count; /**< Number of quarantines so far; 0: only
                                  suspect. */
    bool cleared; /**< A response was received: no longer suspect. */
    /** Hashes of the names of lost upstreams.  */
    uint64_t lost_upstreams[LT_WIRE_LOST_UPSTREAMS_MAX];
    uint32_t lost_upstream_count;
  } lt_wire_quarantine_t;

  void lt_wire_quarantine_encode (const lt_wire_quarantine_t *message,
                                  lt_buf_t *out);
  int lt_wire_quarantine_decode (str_t payload, lt_wire_quarantine_t *message);

/** Maximum number of upstreams in one message of upstream updates.  */
#define LT_WIRE_UPSTREAM_UPDATES_MAX 64

  /** Outcomes and load of one upstream at the sender since its previous
      message.  */
  typedef struct lt_wire_upstream_update
  {
    uint64_t upstream;        /**< Hash of name and incarnation. */
    uint32_t in_flight;       /**< Attempts of the sender in progress. */
    uint32_t successes;       /**< Successes. */
    uint32_t failures;        /**< Failures. */
    int64_t rate_milli_per_s; /**< Named in the last response; 0: none. */
    uint32_t rejections;      /**< Attempts that it rejected as not run. */
  } lt_wire_upstream_update_t;

  typedef struct lt_wire_upstream_updates
  {
    lt_wire_upstream_update_t items[LT_WIRE_UPSTREAM_UPDATES_MAX];
    uint32_t count;
  } lt_wire_upstream_updates_t;

  /** Rates and rejections are encoded only if there is one, as VMs of earlier
      versions reject messages with them.  */
  void
  lt_wire_upstream_updates_encode (const lt_wire_upstream_updates_t *message,
                                   lt_buf_t *out);
  int lt_wire_upstream_updates_decode (str_t payload,
                                       lt_wire_upstream_updates_t *message);

  /** Payload of quota_ask and its reply quota_grant, and of quota_borrow and
      its reply quota_lent; a reply has the correlation of its request.  */
  typedef struct lt_wire_quota_tokens
  {
    uint64_t workspace;    /**< lt_hash64 of the name; 0: a keep-alive
                              without a request for tokens. */
    uint32_t count;        /**< Requests asked for, or admitted in a reply. */
    int64_t home_clock_us; /**< Time on the home's clock: of this grant; in a
                        quota_ask, of the latest grant; 0: none. */
  } lt_wire_quota_tokens_t;

  void lt_wire_quota_tokens_encode (const lt_wire_quota_tokens_t *message,
                                    lt_buf_t *out);
  int lt_wire_quota_tokens_decode (str_t payload,
                                   lt_wire_quota_tokens_t *message);

/** Maximum number of workspaces in one table of shares.  */
#define LT_WIRE_QUOTA_MAX 1024

  /** Share of one workspace.  */
  typedef struct lt_wire_quota_share
  {
    uint64_t workspace;
    uint64_t demand_milli; /**< In a report: demand in requests per 1,000 s. */
    uint32_t ppm; /**< Share of the rate in parts per million: in use, in a
                     report; otherwise allocated. */
  } lt_wire_quota_share_t;

  /** Payload of quota_report and quota_shares.  */
  typedef struct lt_wire_quota_shares
  {
    int64_t parent_clock_us; /**< Time on the parent's clock: of these shares;
                          in a report, of the latest ones received; 0: none. */
    uint64_t serial; /**< Number of these shares; in a report, of the latest
                        ones in use. */
    uint32_t represented_vms; /**< In a report: VMs whose demand it sums up. */
    uint32_t fleet_size; /**< Size of the fleet at the sender, with itself. */
    lt_wire_quota_share_t items[LT_WIRE_QUOTA_MAX];
    uint32_t count;
  } lt_wire_quota_shares_t;

  void lt_wire_quota_shares_encode (const lt_wire_quota_shares_t *message,
                                    lt_buf_t *out);
  int lt_wire_quota_shares_decode (str_t payload,
                                   lt_wire_quota_shares_t *message);

/** Kinds of registry records that VMs pass on: the configuration and the
    upstreams.  */
#define LT_WIRE_REGISTRY_KINDS 2
/** Maximum size of the records in one registry_records message.  */
#define LT_WIRE_REGISTRY_RECORDS_MAX_BYTES (64 * 1024)

  /** What the sender knows of one kind of records.  */
  typedef struct lt_wire_registry_part
  {
    int64_t version;         /**< All changes up to it are known. */
    int64_t changed_version; /**< No record has changed since. */
    int64_t verified_us;     /**< Last response, on the sender's clock. */
  } lt_wire_registry_part_t;

  /** Payload of registry_report: state of the registry at a VM that reads it
      for its failure domain.  */
  typedef struct lt_wire_registry_report
  {
    int64_t sent_us; /**< On the sender's clock. */
    bool serving;    /**< False: the sender cannot read for others now. */
    int64_t outage_age_us; /**< Since the end of the last outage; -1: none. */
    int64_t era;           /**< Era of the versions; 0: unknown. */
    lt_wire_registry_part_t parts[LT_WIRE_REGISTRY_KINDS];
    int64_t config_version; /**< Of the configuration in force; 0: unknown, as
                               in reports of earlier versions. */
  } lt_wire_registry_report_t;

  void
  lt_wire_registry_report_encode (const lt_wire_registry_report_t *message,
                                  lt_buf_t *out);
  int lt_wire_registry_report_decode (str_t payload,
                                      lt_wire_registry_report_t *message);

  /** Payload of registry_records: the changes of one kind of records after one
      version and up to another.  */
  typedef struct lt_wire_registry_records
  {
    uint32_t kind;
    int64_t after_version;
    int64_t version;
    int64_t outage_age_us; /**< As in lt_wire_registry_report_t. */
    int64_t era;           /**< The same. */
    str_t records;         /**< In the encoding of the registry. */
  } lt_wire_registry_records_t;

  void
  lt_wire_registry_records_encode (const lt_wire_registry_records_t *message,
                                   lt_buf_t *out);
  int lt_wire_registry_records_decode (str_t payload,
                                       lt_wire_registry_records_t *message);

#ifdef __cplusplus
}
#endif

#endif
