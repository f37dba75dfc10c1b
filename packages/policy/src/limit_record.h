/** @file
    Operations on the table record; internal to the home.  */
#ifndef LT_POLICY_LIMIT_RECORD_H
#define LT_POLICY_LIMIT_RECORD_H

#include "lt/policy/limit_home.h"

bool lt_limit_vm_equal (const lt_limit_vm_t *a, const lt_limit_vm_t *b);
/** Returns the entry of VM for WORKSPACE, or NULL.  */
lt_limit_grant_t *lt_limit_record_find (lt_limit_record_t *record,
                                        const lt_limit_vm_t *vm,
                                        uint64_t workspace);
/** Returns the sum of all shares of WORKSPACE in the record, in ppm.  */
int32_t lt_limit_record_granted_ppm (const lt_limit_record_t *record,
                                     uint64_t workspace);
/** Removes the entries of VM with an incarnation before INCARNATION; returns
    their number.  */
size_t lt_limit_record_remove_older (lt_limit_record_t *record,
                                     const lt_limit_vm_t *vm,
                                     int64_t incarnation);
/** Removes the entries that were last confirmed AGE_MS or more ago by the
    record's clock; returns their number.  */
size_t lt_limit_record_remove_expired (lt_limit_record_t *record,
                                       int64_t age_ms);
/** Removes GRANT, an entry of RECORD.  The last entry takes its place.  */
void lt_limit_record_remove (lt_limit_record_t *record,
                             lt_limit_grant_t *grant);

#endif
