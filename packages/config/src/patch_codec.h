/** @file
    Msgpack form of a patch: one header object, then one object per row, so
    that decoding needs memory for one row at a time.  */
#ifndef LT_CONFIG_PATCH_CODEC_H
#define LT_CONFIG_PATCH_CODEC_H

#include "patch.h"

void lt_patch_encode (const lt_patch_t *patch, lt_buf_t *out);
/** Decodes BYTES into *PATCH, whose texts are views of BYTES.  Returns 0 or
    -LT_EPROTO.  */
int lt_patch_decode (str_t bytes, lt_patch_t **patch);

#endif
