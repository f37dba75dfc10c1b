/** @file
    Settings of the daemon, from argp flags and LAVENDERTRACK_ environment
    variables; a flag takes precedence over its variable.  */
#ifndef LT_NODE_SETTINGS_H
#define LT_NODE_SETTINGS_H

#include "lt/base/finding.h"
#include "lt/base/log.h"

#ifdef __cplusplus
extern "C"
{
#endif

  typedef enum lt_platform_kind
  {
    LT_PLATFORM_MEMORY,
    LT_PLATFORM_HTTP,
    LT_PLATFORM_HOST /**< Provided by a hosting adapter. */
  } lt_platform_kind_t;

  typedef struct lt_settings
  {
    str_t vm_id;
    str_t region;
    str_t failure_domain;
    str_t store_region; /**< Region that holds the store; default: region. */
    str_t listen;       /**< "ip:port" for callers. */
    str_t ready_listen; /**< For a load balancer's checks; empty: none. */
    str_t admin_listen;
    str_t peer_listen;
    str_t seeds; /**< Comma-separated "ip:port" of other VMs. */
    lt_platform_kind_t platform;
    str_t table_url;
    str_t object_url;
    str_t sheet; /**< Sheet applied at start on the embedded platform. */
    lt_log_level_t log_level;
    int64_t drain_grace_ms;
    int64_t upstream_connections; /**< Bound per upstream on this VM. */
    int64_t max_connections;      /**< Bound on callers' connections. */
    int64_t memory_limit_mb;      /**< Of this process; 0: a share of the
                                     machine's memory. */
    int64_t claim_retention_days; /**< 0: kept without limit. */
    int64_t cost_aware_choice;    /**< 1: choose upstreams by the likely cost
                                     of requests. */
    int64_t seed; /**< Of the random numbers; 0: from the system. */
    str_t peer_secret;
    str_t operator_key;
    str_t key_hash_secret;
    str_t access_key;
    str_t secret_key;
    bool check_only;
    /** Bounds of a hosted fleet.  */
    int64_t retry_permille;     /**< Retries per 1,000 requests. */
    int64_t retry_slack;        /**< Further retries of the whole fleet. */
    int64_t rate_over_permille; /**< Tolerated excess of rates, in 1/1,000. */
    int64_t rate_slack;         /**< Further tolerated requests. */
    int64_t stop_grace_ms;      /**< From SIGTERM to SIGKILL. */
    int64_t revoke_ms;          /**< Until a withdrawn key is refused. */
    int64_t leave_ms;           /**< Until a leaving upstream gets no new
                                     requests. */
    bool fail_closed;           /**< Refuse keys without the registry. */
    int64_t priority_admission; /**< 1: admit requests by priority. */
    const struct lt_hosting *hosting; /**< The adapter; NULL: none. */
  } lt_settings_t;

  /** Sets the defaults.  */
  void lt_settings_init (lt_settings_t *settings);
  /** Reads the environment, then the flags, and checks everything.  Strings
     point into ARGV and the environment.  Returns 0, or -LT_EFINDINGS with the
     faults in FINDINGS.  Ends the process for --help and --version.  */
  int lt_settings_load (lt_settings_t *settings, int argc, char **argv,
                        lt_findings_t *findings);

  struct sockaddr_in;
  /** Parses "ip:port" (IPv4).  Returns 0 or -LT_EINVAL.  */
  int lt_parse_address (str_t text, struct sockaddr_in *address);

#ifdef __cplusplus
}
#endif

#endif
