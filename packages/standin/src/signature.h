/** @file
    Verification of AWS Signature Version 4.  */
#ifndef LT_STANDIN_SIGNATURE_H
#define LT_STANDIN_SIGNATURE_H

#include "httpd.h"

/** Returns whether REQUEST is signed with the key and its body matches the
    signed hash.  Requests with a query string are not supported.  */
bool signature_valid (const standin_request_t *request, str_t access_key,
                      str_t secret_key);

#endif
