/** @file
    Filters: the steps of the request chain.  A filter lets a request go on,
    refuses it, or keeps it waiting and later calls lt_request_resume or
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
    LT_FILTER_WAIT     /**< lt_request_resume or lt_request_refuse follows. */
  } lt_filter_result_t;

  typedef struct lt_filter lt_filter_t;

  typedef struct lt_filter_vtable
  {
    const char *name;
    lt_filter_result_t (*request) (lt_filter_t *filter,
                                   struct lt_request *request);
    /** The whole answer of a never-repeat action is at hand but not yet shown
        to the caller.  LT_FILTER_WAIT holds it until lt_request_resume.  May
       be NULL.  */
    lt_filter_result_t (*answer) (lt_filter_t *filter,
                                  struct lt_request *request);
    /** The request ends, in whatever way; called once for each filter whose
        request function was called, last filter first.  A filter that still
        waits must forget the request here.  May be NULL.  */
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
