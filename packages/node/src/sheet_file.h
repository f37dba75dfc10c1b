/** @file
    Applies the configuration sheet given by --sheet at start.  */
#ifndef LT_NODE_SHEET_FILE_H
#define LT_NODE_SHEET_FILE_H

#include "lt/node/node.h"

#ifdef __cplusplus
extern "C"
{
#endif

  /** Reads and applies the sheet at PATH, as the first configuration.  Prints
      findings to stderr.  The change completes later; only a failure of it is
      logged.  Returns 0, -LT_EFINDINGS or a negative error number.  */
  int lt_sheet_file_apply (lt_node_t *node, str_t path);

#ifdef __cplusplus
}
#endif

#endif
