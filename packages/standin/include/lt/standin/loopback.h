/** @file
    A loopback address of the test process.  */
#ifndef LT_STANDIN_LOOPBACK_H
#define LT_STANDIN_LOOPBACK_H

#include <netinet/in.h>
#include <unistd.h>

#ifdef __cplusplus
extern "C"
{
#endif

  /** Returns an address, in host byte order, that no other test process uses.
      On a shared one, another socket can take a port before the program that
      it was chosen for listens.  */
  static inline in_addr_t
  lt_standin_loopback_address (void)
  {
    const in_addr_t loopback_net = 127U << 24;
    const in_addr_t first_host = 1U << 16;
    return loopback_net + first_host + (in_addr_t)getpid ();
  }

#ifdef __cplusplus
}
#endif

#endif
