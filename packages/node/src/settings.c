#include "lt/node/settings.h"

#include <argp.h>
#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lt/base/error.h"

#define ENV_PREFIX "LAVENDERTRACK_"

typedef enum setting_kind
{
  SETTING_TEXT,
  SETTING_ADDRESS, /* "ip:port"; may be empty unless required. */
  SETTING_NUMBER,
  SETTING_PLATFORM,
  SETTING_LEVEL,
  SETTING_SECRET /* Read from the environment only; never printed. */
} setting_kind_t;

/* A setting.  For numbers MIN and MAX are the bounds; for texts, addresses and
   secrets a MIN of 1 makes the setting required.  */
typedef struct setting
{
  const char *name; /* Name of the flag without the leading dashes. */
  setting_kind_t kind;
  size_t offset;
  int64_t min;
  int64_t max;
  const char *arg;
  const char *help;
} setting_t;

#define OFFSET(member) offsetof (lt_settings_t, member)

enum
{
  DRAIN_GRACE_MAX_MS = 600000,
  UPSTREAM_CONNECTIONS_MAX = 10000,
  CONNECTIONS_MAX = 100000,
  MEMORY_LIMIT_MAX_MB = 1048576,
  RETENTION_MAX_DAYS = 36500,
  RETRY_SLACK_MAX = 1000000,
  SECRET_MIN_BYTES = 16,
  ID_MAX_BYTES = 64
};

/* test_reference.cc reads the names from the first line of each entry.  */
static const setting_t settings_table[] = {
  { "vm-id", SETTING_TEXT, OFFSET (vm_id), 1, 0, "ID",
    "Name of this VM, unique in the fleet" },
  { "region", SETTING_TEXT, OFFSET (region), 1, 0, "NAME",
    "Region of this VM" },
  { "failure-domain", SETTING_TEXT, OFFSET (failure_domain), 1, 0, "NAME",
    "Failure domain of this VM" },
  { "store-region", SETTING_TEXT, OFFSET (store_region), 0, 0, "NAME",
    "Region that holds the store (default: the region)" },
  { "listen", SETTING_ADDRESS, OFFSET (listen), 1, 0, "IP:PORT",
    "Address for callers" },
  { "ready-listen", SETTING_ADDRESS, OFFSET (ready_listen), 0, 0, "IP:PORT",
    "Address for a load balancer's readiness checks; empty: none" },
  { "admin-listen", SETTING_ADDRESS, OFFSET (admin_listen), 1, 0, "IP:PORT",
    "Address for health, metrics and operators" },
  { "peer-listen", SETTING_ADDRESS, OFFSET (peer_listen), 0, 0, "IP:PORT",
    "Address for other VMs; empty: a single VM" },
  { "seeds", SETTING_TEXT, OFFSET (seeds), 0, 0, "IP:PORT,...",
    "Peer addresses of some other VMs" },
  { "platform", SETTING_PLATFORM, OFFSET (platform), 0, 0, "memory|http|host",
    "Adapter for table, object store and VM list" },
  { "table-url", SETTING_TEXT, OFFSET (table_url), 0, 0, "URL",
    "Endpoint of the table service" },
  { "object-url", SETTING_TEXT, OFFSET (object_url), 0, 0, "URL",
    "Endpoint of the object store, with the bucket" },
  { "sheet", SETTING_TEXT, OFFSET (sheet), 0, 0, "FILE",
    "Sheet applied at start on the embedded platform" },
  { "log-level", SETTING_LEVEL, OFFSET (log_level), 0, 0, "LEVEL",
    "error, warn, info or debug" },
  { "drain-grace-ms", SETTING_NUMBER, OFFSET (drain_grace_ms), 0,
    DRAIN_GRACE_MAX_MS, "MS",
    "Time for the balancer to notice that this VM drains" },
  { "upstream-connections", SETTING_NUMBER, OFFSET (upstream_connections), 1,
    UPSTREAM_CONNECTIONS_MAX, "N", "Connections to one upstream at most" },
  { "max-connections", SETTING_NUMBER, OFFSET (max_connections), 1,
    CONNECTIONS_MAX, "N", "Connections of callers at most" },
  { "memory-limit-mb", SETTING_NUMBER, OFFSET (memory_limit_mb), 0,
    MEMORY_LIMIT_MAX_MB, "MB",
    "Memory of this process; 0: half of the machine's" },
  { "claim-retention-days", SETTING_NUMBER, OFFSET (claim_retention_days), 0,
    RETENTION_MAX_DAYS, "DAYS",
    "How long claims of never-repeat actions are kept; 0: without limit" },
  { "retry-permille", SETTING_NUMBER, OFFSET (retry_permille), 0, 1000, "N",
    "Hosted: repeats per 1,000 requests of a service" },
  { "retry-slack", SETTING_NUMBER, OFFSET (retry_slack), 0, RETRY_SLACK_MAX,
    "N", "Hosted: repeats of the fleet besides" },
  { "rate-over-permille", SETTING_NUMBER, OFFSET (rate_over_permille), 0, 1000,
    "N", "Hosted: excess of rates and bursts that is tolerated" },
  { "rate-slack", SETTING_NUMBER, OFFSET (rate_slack), 0, RETRY_SLACK_MAX, "N",
    "Hosted: requests over a burst that are tolerated" },
  { "stop-grace-ms", SETTING_NUMBER, OFFSET (stop_grace_ms), 0,
    DRAIN_GRACE_MAX_MS, "MS", "Hosted: time from SIGTERM to SIGKILL" },
  { "leave-ms", SETTING_NUMBER, OFFSET (leave_ms), 0, DRAIN_GRACE_MAX_MS, "MS",
    "Hosted: time in which new work for a leaving upstream ends" },
  { "revoke-ms", SETTING_NUMBER, OFFSET (revoke_ms), 0, DRAIN_GRACE_MAX_MS,
    "MS", "Hosted: time in which a withdrawn key is dead" },
  { "cost-aware-choice", SETTING_NUMBER, OFFSET (cost_aware_choice), 0, 1,
    "0|1", "Hosted: choose upstreams by the likely cost of requests" },
  { "priority-admission", SETTING_NUMBER, OFFSET (priority_admission), 0, 1,
    "0|1", "Hosted: 1 admits requests by priority when upstreams are full" },
  { "seed", SETTING_NUMBER, OFFSET (seed), 0, INT64_MAX, "N",
    "Seed of the random numbers; 0: from the system" },
  { "peer-secret", SETTING_SECRET, OFFSET (peer_secret), 0, 0, NULL,
    "Shared secret between VMs" },
  { "operator-key", SETTING_SECRET, OFFSET (operator_key), 1, 0, NULL,
    "Key of the operators' API" },
  { "key-hash-secret", SETTING_SECRET, OFFSET (key_hash_secret), 1, 0, NULL,
    "Secret of the keyed hash of callers' keys" },
  { "access-key", SETTING_SECRET, OFFSET (access_key), 0, 0, NULL,
    "Access key of the platform" },
  { "secret-key", SETTING_SECRET, OFFSET (secret_key), 0, 0, NULL,
    "Secret key of the platform" },
};

enum
{
  SETTING_COUNT = sizeof (settings_table) / sizeof (settings_table[0]),
  OPTION_CHECK = 1000,
  OPTION_FIRST = 1001
};

typedef struct load_state
{
  lt_settings_t *settings;
  lt_findings_t *findings;
} load_state_t;

static void
add_error (load_state_t *state, str_t source, str_t value,
           const char *expected)
{
  lt_findings_add (state->findings, LT_SEVERITY_ERROR, source, 0, STR_LIT (""),
                   value, "%s", expected);
}

int
lt_parse_address (str_t text, struct sockaddr_in *address)
{
  str_t port_text;
  str_t ip = str_split (text, ':', &port_text);
  int64_t port = 0;
  char ip_text[INET_ADDRSTRLEN];
  if (port_text.data == NULL || ip.len >= sizeof (ip_text)
      || str_to_i64 (port_text, &port) != 0 || port < 0 || port > 65535)
    return -LT_EINVAL;
  memcpy (ip_text, ip.data, ip.len);
  ip_text[ip.len] = '\0';
  *address = (struct sockaddr_in){ .sin_family = AF_INET };
  address->sin_port = htons ((uint16_t)port);
  return inet_pton (AF_INET, ip_text, &address->sin_addr) == 1 ? 0
                                                               : -LT_EINVAL;
}

static void
set_number (load_state_t *state, const setting_t *setting, str_t source,
            str_t value)
{
  int64_t number = 0;
  int64_t *target = (int64_t *)((char *)state->settings + setting->offset);
  if (str_to_i64 (value, &number) != 0 || number < setting->min
      || number > setting->max)
    {
      char expected[96];
      snprintf (expected, sizeof (expected),
                "expected an integer from %lld to %lld",
                (long long)setting->min, (long long)setting->max);
      add_error (state, source, value, expected);
      return;
    }
  *target = number;
}

static void
set_platform (load_state_t *state, str_t source, str_t value)
{
  if (str_equal (value, STR_LIT ("memory")))
    state->settings->platform = LT_PLATFORM_MEMORY;
  else if (str_equal (value, STR_LIT ("http")))
    state->settings->platform = LT_PLATFORM_HTTP;
  else if (str_equal (value, STR_LIT ("host")))
    state->settings->platform = LT_PLATFORM_HOST;
  else
    add_error (state, source, value, "expected memory, http or host");
}

static void
set_value (load_state_t *state, const setting_t *setting, str_t source,
           str_t value)
{
  str_t *text = (str_t *)((char *)state->settings + setting->offset);
  struct sockaddr_in address;
  switch (setting->kind)
    {
    case SETTING_NUMBER:
      set_number (state, setting, source, value);
      return;
    case SETTING_PLATFORM:
      set_platform (state, source, value);
      return;
    case SETTING_LEVEL:
      if (lt_log_parse_level (value, &state->settings->log_level) != 0)
        add_error (state, source, value,
                   "expected error, warn, info or debug");
      return;
    case SETTING_ADDRESS:
      if (value.len > 0 && lt_parse_address (value, &address) != 0)
        add_error (state, source, value, "expected ip:port");
      *text = value;
      return;
    case SETTING_SECRET:
      if (value.len < SECRET_MIN_BYTES)
        add_error (state, source, STR_LIT (""), "expected at least 16 bytes");
      *text = value;
      return;
    case SETTING_TEXT:
      *text = value;
      return;
    }
}

static void
env_name (const setting_t *setting, char *out, size_t size)
{
  snprintf (out, size, ENV_PREFIX "%s", setting->name);
  for (char *c = out; *c != '\0'; c++)
    {
      if (*c == '-')
        *c = '_';
      if (*c >= 'a' && *c <= 'z')
        *c = (char)(*c - 'a' + 'A');
    }
}

static void
load_environment (load_state_t *state)
{
  for (int i = 0; i < SETTING_COUNT; i++)
    {
      char name[64];
      env_name (&settings_table[i], name, sizeof (name));
      const char *value = getenv (name);
      if (value != NULL)
        set_value (state, &settings_table[i], str_from (name),
                   str_from (value));
    }
}

static error_t
parse_option (int key, char *arg, struct argp_state *argp_state)
{
  load_state_t *state = argp_state->input;
  if (key == OPTION_CHECK)
    {
      state->settings->check_only = true;
      return 0;
    }
  if (key == ARGP_KEY_ARG)
    {
      add_error (state, STR_LIT ("command line"), str_from (arg),
                 "expected no arguments");
      return 0;
    }
  if (key < OPTION_FIRST || key >= OPTION_FIRST + SETTING_COUNT)
    return ARGP_ERR_UNKNOWN;
  const setting_t *setting = &settings_table[key - OPTION_FIRST];
  char flag[64];
  snprintf (flag, sizeof (flag), "--%s", setting->name);
  set_value (state, setting, str_from (flag), str_from (arg));
  return 0;
}

static void
check_required (load_state_t *state)
{
  for (int i = 0; i < SETTING_COUNT; i++)
    {
      const setting_t *setting = &settings_table[i];
      bool is_text = setting->kind == SETTING_TEXT
                     || setting->kind == SETTING_ADDRESS
                     || setting->kind == SETTING_SECRET;
      if (!is_text || setting->min == 0)
        continue;
      const str_t *text
          = (const str_t *)((char *)state->settings + setting->offset);
      if (text->len > 0)
        continue;
      char source[64];
      if (setting->kind == SETTING_SECRET)
        env_name (setting, source, sizeof (source));
      else
        snprintf (source, sizeof (source), "--%s", setting->name);
      add_error (state, str_from (source), STR_LIT (""), "expected a value");
    }
}

static void
check_combinations (load_state_t *state)
{
  const lt_settings_t *s = state->settings;
  bool host = s->platform == LT_PLATFORM_HOST;
  if (host != (s->hosting != NULL))
    add_error (state, STR_LIT ("--platform"), STR_LIT ("host"),
               "expected the settings of a hosting platform");
  if (!host && s->peer_listen.len > 0 && s->peer_secret.len == 0)
    add_error (state, STR_LIT (ENV_PREFIX "PEER_SECRET"), STR_LIT (""),
               "expected a value with --peer-listen");
  if (s->vm_id.len > ID_MAX_BYTES)
    add_error (state, STR_LIT ("--vm-id"), s->vm_id,
               "expected at most 64 bytes");
  bool http = s->platform == LT_PLATFORM_HTTP;
  if (http && (s->table_url.len == 0 || s->object_url.len == 0))
    add_error (state, STR_LIT ("--platform"), STR_LIT ("http"),
               "expected --table-url and --object-url as well");
  if (http && (s->access_key.len == 0 || s->secret_key.len == 0))
    add_error (state, STR_LIT ("--platform"), STR_LIT ("http"),
               "expected " ENV_PREFIX "ACCESS_KEY and " ENV_PREFIX
               "SECRET_KEY as well");
  if (!http && !host && s->seeds.len > 0)
    add_error (state, STR_LIT ("--seeds"), s->seeds,
               "expected --platform http: the embedded platform serves a "
               "single VM");
}

static void
check_seeds (load_state_t *state)
{
  str_t rest = state->settings->seeds;
  while (rest.len > 0)
    {
      struct sockaddr_in address;
      str_t seed = str_split (rest, ',', &rest);
      if (lt_parse_address (seed, &address) != 0)
        add_error (state, STR_LIT ("--seeds"), seed, "expected ip:port");
    }
}

void
lt_settings_init (lt_settings_t *settings)
{
  *settings = (lt_settings_t){
    .vm_id = STR_LIT ("vm-1"),
    .region = STR_LIT ("local"),
    .failure_domain = STR_LIT ("local-a"),
    .listen = STR_LIT ("127.0.0.1:18080"),
    .admin_listen = STR_LIT ("127.0.0.1:18081"),
    .log_level = LT_LOG_INFO,
    .drain_grace_ms = 5000,
    .upstream_connections = 8,
    .max_connections = 4096,
    .retry_permille = 200,
    .retry_slack = 50,
    .stop_grace_ms = 6000,
    .revoke_ms = 5000,
    .leave_ms = 2500,
  };
}

int
lt_settings_load (lt_settings_t *settings, int argc, char **argv,
                  lt_findings_t *findings)
{
  load_state_t state = { settings, findings };
  struct argp_option options[SETTING_COUNT + 2] = { { 0 } };
  int count = 0;
  for (int i = 0; i < SETTING_COUNT; i++)
    if (settings_table[i].kind != SETTING_SECRET)
      options[count++] = (struct argp_option){ .name = settings_table[i].name,
                                               .key = OPTION_FIRST + i,
                                               .arg = settings_table[i].arg,
                                               .doc = settings_table[i].help };
  options[count] = (struct argp_option){
    .name = "check", .key = OPTION_CHECK, .doc = "Check the settings and exit"
  };
  struct argp argp = {
    .options = options,
    .parser = parse_option,
    .doc = "Proxy of the lavendertrack fleet.\vEach flag has an environment "
           "variable: --vm-id is LAVENDERTRACK_VM_ID.  Secrets come from the "
           "environment only: LAVENDERTRACK_PEER_SECRET, "
           "LAVENDERTRACK_OPERATOR_KEY, LAVENDERTRACK_KEY_HASH_SECRET, "
           "LAVENDERTRACK_ACCESS_KEY, LAVENDERTRACK_SECRET_KEY.",
  };
  load_environment (&state);
  argp_parse (&argp, argc, argv, 0, NULL, &state);
  if (settings->store_region.len == 0)
    settings->store_region = settings->region;
  check_required (&state);
  check_combinations (&state);
  check_seeds (&state);
  return lt_findings_errors (findings) == 0 ? 0 : -LT_EFINDINGS;
}
