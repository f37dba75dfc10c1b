/** @file
    Project error numbers.  Functions return 0 or the negative of one.  */
#ifndef LT_BASE_ERROR_H
#define LT_BASE_ERROR_H

#ifdef __cplusplus
extern "C"
{
#endif

/** Number, name and text of each project error.  */
#define LT_ERROR_TABLE(X)                                                     \
  X (LT_EINVAL, 1001, "invalid value")                                        \
  X (LT_ERANGE, 1002, "value out of range")                                   \
  X (LT_ENOTFOUND, 1003, "not found")                                         \
  X (LT_EEXISTS, 1004, "already exists")                                      \
  X (LT_ECONFLICT, 1005, "conflicting change")                                \
  X (LT_ETIMEOUT, 1006, "timed out")                                          \
  X (LT_EUNAVAILABLE, 1007, "unavailable")                                    \
  X (LT_EUNKNOWN, 1008, "outcome unknown")                                    \
  X (LT_EPROTO, 1009, "protocol violation")                                   \
  X (LT_EAUTH, 1010, "authentication failed")                                 \
  X (LT_ETOOBIG, 1011, "too large")                                           \
  X (LT_EFULL, 1012, "full")                                                  \
  X (LT_EIO, 1013, "input or output error")                                   \
  X (LT_ESTALE, 1014, "stale")                                                \
  X (LT_EFINDINGS, 1015, "input has findings")                                \
  X (LT_ECANCELED, 1016, "canceled")

#define LT_ERROR_ENUM(name, number, text) name = (number),
  typedef enum lt_error
  {
    LT_ERROR_TABLE (LT_ERROR_ENUM)
  } lt_error_t;
#undef LT_ERROR_ENUM

  /** Returns the text of ERR (a negative or positive project error number or
      errno value); never NULL.  */
  const char *lt_error_text (int err);
  /** Returns the name of ERR, such as "LT_EINVAL", or "unknown".  */
  const char *lt_error_name (int err);

#ifdef __cplusplus
}
#endif

#endif
