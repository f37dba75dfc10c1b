/** @file
    Filters: the steps of the request chain.  A filter lets a request
    continue, refuses it, or suspends it and later calls lt_request_resume or
    lt_request_refuse.  */
#ifndef LT_NODE_FILTER_H
#define LT_NODE_FILTER_H

#include "lt/base/str.h"

#ifdef __cplusplus
extern "C"
{
#endif

  struct lt_request;

  typedef enum lt_filter_result
  {
    LT_FILTER_CONTINUE,
    LT_FILTER_REFUSED, /**< The filter called lt_request_refuse. */
    LT_FILTER_WAIT     /**< The filter later resumes or refuses it. */
  } lt_filter_result_t;

  typedef struct lt_filter lt_filter_t;

  typedef struct lt_filter_vtable
  {
    const char *name;
    /** Called when REQUEST reaches this filter.  */
    lt_filter_result_t (*request) (lt_filter_t *filter,
                                   struct lt_request *request);
    /** Called when a response is complete and none of it has been sent to the
        caller.  LT_FILTER_WAIT delays it until lt_request_resume.  May be
        NULL.  */
    lt_filter_result_t (*on_response) (lt_filter_t *filter,
                                       struct lt_request *request);
    /** Called when the request ends for any reason, once for each filter
        whose request function was called, last filter first.  A filter that
        has suspended the request must drop its pointers to it here.  May be
        NULL.  */
    void (*done) (lt_filter_t *filter, struct lt_request *request);
    void (*destroy) (lt_filter_t *filter);
  } lt_filter_vtable_t;

  struct lt_filter
  {
    const lt_filter_vtable_t *vtable;
    struct lt_node *node;
    int slot; /**< Index into lt_request_t.filter_state. */
  };

#ifdef __cplusplus
}
#endif

#endif
