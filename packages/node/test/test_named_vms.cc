// Tests the list of VMs that seeds or the platform name.
#include <gtest/gtest.h>

#include <string>

#include "named_vms.h"

// Guards against a VM that stays named after it has left the platform's list,
// against a time of first naming that restarts with each list, and against a
// seed that is removed.
TEST (NamedVms, ListReplacesListedVmsAndKeepsSeeds)
{
  const str_t nobody = str_make (nullptr, 0);
  lt_named_vms_t vms = {};
  lt_named_vms_add_seed (&vms, STR_LIT ("10.0.0.1:7000"), 1);
  struct
  {
    int64_t now_us;
    std::string ids;
    std::string named; // Id or address, and first_us, in order.
  } lists[] = { { 2, "ab", "10.0.0.1:7000@1 a@2 b@2 " },
                { 3, "bc", "10.0.0.1:7000@1 b@2 c@3 " },
                { 4, "", "10.0.0.1:7000@1 " },
                { 5, "a", "10.0.0.1:7000@1 a@5 " } };
  for (const auto &list : lists)
    {
      lt_named_vms_begin_list (&vms);
      for (const char &id : list.ids)
        lt_named_vms_add_listed (&vms, str_make (&id, 1), nobody, list.now_us);
      lt_named_vms_end_list (&vms);
      std::string named;
      for (size_t i = 0; i < vms.count; i++)
        named
            += std::string (vms.items[i].id[0] != '\0' ? vms.items[i].id
                                                       : vms.items[i].address)
               + "@" + std::to_string (vms.items[i].first_us) + " ";
      EXPECT_EQ (list.named, named) << list.now_us;
    }
  const std::string longer (65, 'x');
  lt_named_vms_add_listed (&vms, str_from (longer.c_str ()), nobody, 6);
  EXPECT_EQ (2U, vms.count) << "a name that does not fit is ignored";
  lt_named_vms_destroy (&vms);
}
