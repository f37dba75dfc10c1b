#include "lt/node/dialect.h"

const lt_dialect_t lt_dialect_default = {
  .request_id = STR_CONST ("X-Request-Id"),
  .deadline = STR_CONST ("X-Deadline-Ms"),
  .workspace = STR_CONST ("X-Workspace"),
  .expected_instance = STR_CONST (""),
  .not_run = STR_CONST (""),
  .seal = STR_CONST (""),
  .rate_limit = STR_CONST (""),
  .leaving = STR_CONST (""),
  .instance = STR_CONST (""),
  .warm_up_left = STR_CONST (""),
  .run_state = STR_CONST ("X-Request-Ran"),
  .generates_request_id = true,
  .uses_claims = true,
  .readiness_path = STR_CONST ("/readyz"),
};
