#include "mesh_controller.h"

#include <jansson.h>
#include <sodium.h>
#include <stdlib.h>
#include <uthash.h>

#include "lt/base/error.h"
#include "lt/base/log.h"
#include "lt/node/quarantine_controller.h"
#include "lt/node/source_controller.h"
#include "peer_transport.h"

enum
{
  CALL_TIMEOUT_MS = 3000,
  RETRY_MS = 500,
  /* The second read follows early: VMs that start together are all registered
     after about a second.  */
  FIRST_LISTS = 1,
  FIRST_LIST_MS = 1500,
  LIST_MS = 60000,
  CONNECT_MS = 1000,
  /* The first attempts follow quickly, because VMs that start together have
     not opened their listeners yet.  */
  FIRST_CONNECT_MS = 200,
  FIRST_CONNECT_ROUNDS = 10,
  SECRET_BYTES = 32,
  NAME_MAX_BYTES = 64
};

typedef struct vm
{
  UT_hash_handle hh;
  char id[NAME_MAX_BYTES + 1];
  char address[NAME_MAX_BYTES + 1];
  char region[NAME_MAX_BYTES + 1];
  char domain[NAME_MAX_BYTES + 1];
} vm_t;

typedef enum mesh_step
{
  STEP_LIST,     /* Read the list and the secret. */
  STEP_ANNOUNCE, /* Write this VM's record. */
  STEP_IDLE
} mesh_step_t;

typedef struct mesh_controller
{
  lt_controller_t base;
  lt_peer_transport_t *transport;
  vm_t *vms;
  mesh_step_t step;
  bool announced;
  bool complete;     /* A list that contains this VM has been read. */
  bool call_pending; /* A call to the registry is in progress. */
  bool failing;      /* The last call failed. */
  int lists_read;
  int64_t era;        /* Of the registry, when the last call began. */
  bool secret_listed; /* The last list had the secret. */
  int connect_rounds; /* Rounds of connecting, up to FIRST_CONNECT_ROUNDS. */
  int64_t next_us;
  int64_t next_connect_us;
  char secret[2 * SECRET_BYTES + 1];
  char proposed_secret[2 * SECRET_BYTES + 1];
  lt_gauge_t *count_gauge;
} mesh_controller_t;

/* node->directory has no pointer to the controller, so it is found among the
   node's controllers.  */
static const lt_controller_vtable_t vtable;

static mesh_controller_t *
find_mesh (const lt_node_t *node)
{
  for (int i = 0; i < node->controller_count; i++)
    if (node->controllers[i]->vtable == &vtable)
      return (mesh_controller_t *)node->controllers[i];
  return NULL;
}

static bool
copy_name (char *out, str_t text)
{
  if (text.len == 0 || text.len > NAME_MAX_BYTES)
    return false;
  memcpy (out, text.data, text.len);
  out[text.len] = '\0';
  return true;
}

static void
add_vm (mesh_controller_t *c, const lt_registry_vm_t *from)
{
  vm_t parsed = { .id = "" };
  if (!copy_name (parsed.id, from->id)
      || !copy_name (parsed.region, from->region)
      || !copy_name (parsed.address, from->address)
      || !copy_name (parsed.domain, from->failure_domain))
    {
      lt_log (LT_LOG_WARN, "mesh", "msg=\"malformed VM record\" vm=%.*s",
              STR_ARG (from->id));
      return;
    }
  const lt_settings_t *settings = c->base.node->settings;
  if (str_equal (from->id, settings->vm_id))
    {
      /* A VM that restarts with unchanged data need not register again.  */
      c->announced
          = c->announced
            || (str_equal (from->address, settings->peer_listen)
                && str_equal (from->region, settings->region)
                && str_equal (from->failure_domain, settings->failure_domain));
      c->complete = true;
      return;
    }
  vm_t *vm = NULL;
  HASH_FIND_STR (c->vms, parsed.id, vm);
  if (vm == NULL)
    {
      vm = lt_alloc (sizeof (*vm));
      memcpy (vm->id, parsed.id, sizeof (vm->id));
      HASH_ADD_STR (c->vms, id, vm);
    }
  memcpy (vm->address, parsed.address, sizeof (vm->address));
  memcpy (vm->region, parsed.region, sizeof (vm->region));
  memcpy (vm->domain, parsed.domain, sizeof (vm->domain));
  c->count_gauge->value = (double)HASH_COUNT (c->vms) + 1;
}

static void
on_open (void *user, const lt_vm_identity_t *peer, bool outgoing)
{
  (void)outgoing;
  lt_registry_vm_t vm = { .id = peer->vm_id,
                          .address = peer->peer_address,
                          .region = peer->region,
                          .failure_domain = peer->failure_domain };
  mesh_controller_t *c = user;
  add_vm (c, &vm);
  lt_quarantine_controller_tell (c->base.node, peer);
}

static str_t
directory_address (lt_node_t *node, str_t vm_id)
{
  const mesh_controller_t *c = find_mesh (node);
  vm_t *vm = NULL;
  if (c != NULL)
    HASH_FIND (hh, c->vms, vm_id.data, vm_id.len, vm);
  return vm == NULL ? str_make (NULL, 0) : str_from (vm->address);
}

static size_t
directory_others (lt_node_t *node, str_t *ids, size_t cap)
{
  const mesh_controller_t *c = find_mesh (node);
  size_t found = 0;
  if (c == NULL)
    return 0;
  if (cap == 0)
    return HASH_COUNT (c->vms);
  for (vm_t *vm = c->vms; vm != NULL && found < cap; vm = vm->hh.next)
    ids[found++] = str_from (vm->id);
  return found;
}

static bool
is_nearby (const lt_node_t *node, const vm_t *vm, bool in_domain)
{
  bool same
      = str_equal (str_from (vm->domain), node->settings->failure_domain);
  if (in_domain)
    return same;
  return !same && str_equal (str_from (vm->region), node->settings->region);
}

static size_t
directory_near (lt_node_t *node, bool in_domain, str_t *ids, size_t cap)
{
  const mesh_controller_t *c = find_mesh (node);
  size_t found = 0;
  if (c == NULL)
    return 0;
  for (vm_t *vm = c->vms; vm != NULL; vm = vm->hh.next)
    {
      if (!is_nearby (node, vm, in_domain))
        continue;
      if (found < cap)
        ids[found] = str_from (vm->id);
      found++;
    }
  return cap == 0 || found < cap ? found : cap;
}

static bool
directory_locate (lt_node_t *node, str_t vm_id, str_t *failure_domain,
                  str_t *region)
{
  const mesh_controller_t *c = find_mesh (node);
  vm_t *vm = NULL;
  if (c != NULL)
    HASH_FIND (hh, c->vms, vm_id.data, vm_id.len, vm);
  if (vm == NULL)
    return false;
  *failure_domain = str_from (vm->domain);
  *region = str_from (vm->region);
  return true;
}

static bool
directory_is_connected (lt_node_t *node, str_t vm_id)
{
  const mesh_controller_t *c = find_mesh (node);
  return c != NULL && c->transport != NULL
         && lt_peer_transport_is_connected (c->transport, vm_id);
}

static bool
directory_is_complete (lt_node_t *node)
{
  const mesh_controller_t *c = find_mesh (node);
  return c != NULL && c->complete;
}

static const lt_vm_directory_t directory
    = { .address = directory_address,
        .others = directory_others,
        .others_near = directory_near,
        .is_connected = directory_is_connected,
        .is_complete = directory_is_complete,
        .locate = directory_locate };

/* Opens the listener: connections are authenticated with the secret.  */
static void
use_secret (mesh_controller_t *c, str_t secret)
{
  if (c->transport != NULL || secret.len == 0
      || secret.len >= sizeof (c->secret))
    return;
  memcpy (c->secret, secret.data, secret.len);
  c->secret[secret.len] = '\0';
  c->base.node->peer_secret = str_from (c->secret);
  int error
      = lt_peer_transport_create (c->base.node, on_open, c, &c->transport);
  if (error != 0)
    lt_log (
        LT_LOG_ERROR, "mesh",
        "msg=\"cannot listen for peer connections\" address=%.*s error=\"%s\"",
        STR_ARG (c->base.node->settings->peer_listen), lt_error_text (error));
}

static void
log_state_change (mesh_controller_t *c, int error)
{
  bool failed = error != 0 && error != -LT_ECONFLICT;
  if (failed == c->failing)
    return;
  c->failing = failed;
  lt_log (failed ? LT_LOG_WARN : LT_LOG_INFO, "mesh",
          "msg=\"list of VMs %s\" vms=%u error=\"%s\"",
          failed ? "lost" : "regained", HASH_COUNT (c->vms) + 1,
          failed ? lt_error_text (error) : "");
}

static void
handle_list (mesh_controller_t *c, const lt_registry_result_t *result,
             int64_t now_us)
{
  c->secret_listed = false;
  for (size_t i = 0; i < result->count; i++)
    if (result->records[i].removed)
      continue;
    else if (result->records[i].secret.len > 0)
      {
        c->secret_listed = true;
        use_secret (c, result->records[i].secret);
      }
    else
      add_vm (c, &result->records[i].vm);
  c->lists_read++;
  c->step = c->announced && c->secret_listed && c->transport != NULL
                ? STEP_IDLE
                : STEP_ANNOUNCE;
  int64_t wait_ms = c->lists_read <= FIRST_LISTS ? FIRST_LIST_MS : LIST_MS;
  wait_ms = wait_ms / 2
            + (int64_t)lt_rng_below (&c->base.node->rng, (uint64_t)wait_ms);
  c->next_us = c->step == STEP_IDLE ? now_us + wait_ms * LT_US_PER_MS : now_us;
}

static void
on_result (void *user, const lt_registry_result_t *result)
{
  mesh_controller_t *c = user;
  int64_t now_us = lt_node_now_us (c->base.node);
  c->call_pending = false;
  lt_source_controller_note_era (c->base.node, result->era);
  log_state_change (c, result->error);
  if (result->error == -LT_ECONFLICT)
    {
      /* Another VM has stored its secret first.  */
      c->step = STEP_LIST;
      c->next_us = now_us;
    }
  else if (result->error != 0)
    c->next_us = now_us + RETRY_MS / 2 * LT_US_PER_MS
                 + (int64_t)lt_rng_below (&c->base.node->rng,
                                          RETRY_MS * LT_US_PER_MS);
  else if (c->step == STEP_LIST)
    handle_list (c, result, now_us);
  else
    {
      c->announced = true;
      c->secret_listed = true;
      use_secret (c, str_from (c->proposed_secret));
      c->step = STEP_IDLE;
      c->next_us = now_us + FIRST_LIST_MS / 2 * LT_US_PER_MS
                   + (int64_t)lt_rng_below (&c->base.node->rng,
                                            FIRST_LIST_MS * LT_US_PER_MS);
    }
}

static void
propose_secret (mesh_controller_t *c)
{
  unsigned char bytes[SECRET_BYTES];
  randombytes_buf (bytes, sizeof (bytes));
  sodium_bin2hex (c->proposed_secret, sizeof (c->proposed_secret), bytes,
                  sizeof (bytes));
  sodium_memzero (bytes, sizeof (bytes));
}

static int
announce (mesh_controller_t *c)
{
  lt_node_t *node = c->base.node;
  const lt_settings_t *settings = node->settings;
  lt_registry_vm_t vm = { .id = settings->vm_id,
                          .address = settings->peer_listen,
                          .region = settings->region,
                          .failure_domain = settings->failure_domain };
  c->proposed_secret[0] = '\0';
  if (c->transport == NULL)
    propose_secret (c);
  else if (!c->secret_listed)
    memcpy (c->proposed_secret, c->secret, sizeof (c->secret));
  return node->registry->vtable->announce (node->registry, &vm,
                                           str_from (c->proposed_secret),
                                           CALL_TIMEOUT_MS, on_result, c);
}

/* A registry that came back from an older copy may lack this VM's record and
   the secret.  */
static void
list_again_in_new_era (mesh_controller_t *c, int64_t now_us)
{
  int64_t era = c->base.node->registry_era;
  if (c->call_pending || era == c->era)
    return;
  if (c->era != 0)
    {
      c->announced = false;
      c->step = STEP_LIST;
      c->next_us = now_us
                   + (int64_t)lt_rng_below (&c->base.node->rng,
                                            RETRY_MS * LT_US_PER_MS);
    }
  c->era = era;
}

static void
next_call (mesh_controller_t *c, int64_t now_us)
{
  lt_registry_t *registry = c->base.node->registry;
  list_again_in_new_era (c, now_us);
  if (c->call_pending || now_us < c->next_us)
    return;
  if (c->step == STEP_IDLE)
    c->step = STEP_LIST;
  int error = c->step == STEP_ANNOUNCE
                  ? announce (c)
                  : registry->vtable->read (registry, LT_REGISTRY_VMS,
                                            CALL_TIMEOUT_MS, on_result, c);
  c->call_pending = error == 0;
  if (error != 0)
    c->next_us = now_us + RETRY_MS * LT_US_PER_MS;
}

/* Connects to the VMs of this region.  In the first round only the VM with the
   lower id of each pair connects, to avoid duplicate connections; later rounds
   connect to all that are still unconnected.  */
static void
connect_nearby (mesh_controller_t *c, int64_t now_us)
{
  lt_node_t *node = c->base.node;
  if (c->transport == NULL || now_us < c->next_connect_us)
    return;
  bool first = c->connect_rounds < FIRST_CONNECT_ROUNDS;
  c->connect_rounds += first;
  c->next_connect_us
      = now_us + (first ? FIRST_CONNECT_MS : CONNECT_MS) * LT_US_PER_MS;
  for (vm_t *vm = c->vms; vm != NULL; vm = vm->hh.next)
    {
      if (!is_nearby (node, vm, true) && !is_nearby (node, vm, false))
        continue;
      str_t id = str_from (vm->id);
      if (lt_peer_transport_is_connected (c->transport, id))
        continue;
      if (c->connect_rounds == 1
          && str_compare (node->settings->vm_id, id) > 0)
        continue;
      lt_peer_transport_connect (c->transport, str_from (vm->address));
    }
}

static void
tick (lt_controller_t *base, int64_t now_us)
{
  mesh_controller_t *c = (mesh_controller_t *)base;
  next_call (c, now_us);
  if (c->transport == NULL)
    return;
  connect_nearby (c, now_us);
  lt_peer_transport_tick (c->transport, now_us);
}

static json_t *
status (lt_controller_t *base)
{
  const mesh_controller_t *c = (mesh_controller_t *)base;
  return json_pack ("{s:i, s:b}", "vms", (int)HASH_COUNT (c->vms) + 1,
                    "announced", (int)c->announced);
}

static void
destroy (lt_controller_t *base)
{
  mesh_controller_t *c = (mesh_controller_t *)base;
  lt_peer_transport_destroy (c->transport);
  vm_t *vm;
  vm_t *next;
  HASH_ITER (hh, c->vms, vm, next)
  {
    HASH_DEL (c->vms, vm); /* NOLINT(clang-analyzer-*) */
    free (vm);
  }
  base->node->directory = NULL;
  base->node->peer_secret = str_make (NULL, 0);
  sodium_memzero (c->secret, sizeof (c->secret));
  free (c);
}

static const lt_controller_vtable_t vtable
    = { .name = "mesh", .tick = tick, .status = status, .destroy = destroy };

lt_controller_t *
lt_mesh_controller_create (lt_node_t *node)
{
  mesh_controller_t *c = lt_alloc (sizeof (*c));
  c->base.vtable = &vtable;
  c->base.node = node;
  c->count_gauge = lt_metrics_gauge (node->metrics, "lavendertrack_vms_known",
                                     "VMs of the hosted fleet.", "");
  c->count_gauge->value = 1;
  node->directory = &directory;
  return &c->base;
}
