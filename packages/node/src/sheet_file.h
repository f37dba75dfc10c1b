/** @file
    Applies the sheet given by --sheet when the embedded platform is empty.  */
#ifndef LT_NODE_SHEET_FILE_H
#define LT_NODE_SHEET_FILE_H

#include "lt/node/node.h"

#ifdef __cplusplus
extern "C"
{
#endif

  /** Reads and applies the file.  Findings go to stderr; the
    outcome is logged later.  Returns 0,
      -LT_EFINDINGS or a negative errno value.  */
  int lt_sheet_file_apply (lt_node_t *node, str_t path);

#ifdef __cplusplus
}
#endif

#endif
