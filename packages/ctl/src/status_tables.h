/** @file
    The controllers' part of the status as tables.  */
#ifndef LT_CTL_STATUS_TABLES_H
#define LT_CTL_STATUS_TABLES_H

#include <jansson.h>

#include "lt/ctl/ctl.h"

/** Prints the state of each controller; CONTROLLERS holds it by name.  One
    that is not known here is printed member by member.  */
void lt_ctl_print_controllers (lt_ctl_t *ctl, const json_t *controllers);

#endif
