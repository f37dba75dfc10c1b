#include "readiness.h"

#include <errno.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>

#include "http_loop.h"
#include "lt/base/error.h"
#include "lt/base/log.h"
#include "lt/node/quota_controller.h"

enum
{
  CONNECTIONS_MAX = 16,
  IDLE_TIMEOUT_S = 10,
  CONNECTION_MEMORY_BYTES = 4 * 1024
};

struct lt_readiness
{
  lt_node_t *node;
  lt_http_loop_t http;
  bool ready; /* As last reported. */
};

static bool
is_ready (lt_node_t *node)
{
  if (node->draining || node->config == NULL || !node->config_was_confirmed)
    return false;
  return node->quota_controller == NULL
         || lt_quota_controller_is_ready (node->quota_controller,
                                          lt_node_now_us (node));
}

static enum MHD_Result
on_access (void *cls, struct MHD_Connection *connection, const char *url,
           const char *method, const char *version, const char *upload_data,
           size_t *upload_data_size, void **con_cls)
{
  (void)version;
  (void)upload_data;
  (void)con_cls;
  *upload_data_size = 0; /* Bodies of checks are ignored. */
  lt_readiness_t *readiness = cls;
  bool known = strcmp (method, "GET") == 0
               && str_equal (str_from (url),
                             readiness->node->dialect->readiness_path);
  bool ready = is_ready (readiness->node);
  if (known && ready != readiness->ready)
    {
      readiness->ready = ready;
      lt_log (LT_LOG_INFO, "readiness", "msg=\"reported %s\" leaving=%d",
              ready ? "ready" : "not ready", readiness->node->draining);
    }
  unsigned int status = !known ? 404 : ready ? 200 : 503;
  struct MHD_Response *response
      = MHD_create_response_from_buffer (0, NULL, MHD_RESPMEM_PERSISTENT);
  enum MHD_Result result = MHD_queue_response (connection, status, response);
  MHD_destroy_response (response);
  return result;
}

int
lt_readiness_create (lt_node_t *node, lt_readiness_t **result)
{
  struct sockaddr_in address;
  if (lt_parse_address (node->settings->ready_listen, &address) != 0)
    return -LT_EINVAL;
  lt_readiness_t *readiness = lt_alloc (sizeof (*readiness));
  readiness->node = node;
  struct MHD_Daemon *daemon = MHD_start_daemon (
      MHD_USE_EPOLL | MHD_USE_ERROR_LOG, 0, NULL, NULL, on_access, readiness,
      MHD_OPTION_EXTERNAL_LOGGER, lt_http_loop_log, NULL, MHD_OPTION_SOCK_ADDR,
      (const struct sockaddr *)&address, MHD_OPTION_CONNECTION_MEMORY_LIMIT,
      (size_t)CONNECTION_MEMORY_BYTES, MHD_OPTION_CONNECTION_LIMIT,
      (unsigned int)CONNECTIONS_MAX, MHD_OPTION_CONNECTION_TIMEOUT,
      (unsigned int)IDLE_TIMEOUT_S, MHD_OPTION_END);
  if (daemon == NULL
      || lt_http_loop_start (&readiness->http, node->loop, daemon) != 0)
    {
      lt_log (LT_LOG_ERROR, "readiness",
              "msg=\"cannot listen\" address=%.*s error=\"%s\"",
              STR_ARG (node->settings->ready_listen), strerror (errno));
      free (readiness);
      return -LT_EIO;
    }
  *result = readiness;
  return 0;
}

void
lt_readiness_destroy (lt_readiness_t *readiness)
{
  if (readiness == NULL)
    return;
  lt_http_loop_stop (&readiness->http);
  free (readiness);
}
