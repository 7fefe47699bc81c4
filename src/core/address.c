#include "core/address.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#define MAX_PORT 65535

static bool
parse_port (const char *text, in_port_t *port)
{
  char *end;
  unsigned long n;

  if (*text < '0' || *text > '9')
    return false;
  n = strtoul (text, &end, 10);
  if (*end || n > MAX_PORT)
    return false;
  *port = htons ((uint16_t)n);
  return true;
}

bool
address_parse (const char *text, Address *address)
{
  const char *colon = strrchr (text, ':');
  size_t len = colon ? (size_t)(colon - text) : 0;
  char ip[INET6_ADDRSTRLEN + 2];
  in_port_t port;
  struct sockaddr_in v4 = { .sin_family = AF_INET };
  struct sockaddr_in6 v6 = { .sin6_family = AF_INET6 };

  if (len == 0 || len >= sizeof ip || !parse_port (colon + 1, &port))
    return false;
  memset (address, 0, sizeof *address);
  memcpy (ip, text, len);
  ip[len] = '\0';
  if (ip[0] == '[' && ip[len - 1] == ']')
    {
      ip[len - 1] = '\0';
      v6.sin6_port = port;
      memcpy (&address->storage, &v6, sizeof v6);
      address->len = sizeof v6;
      return inet_pton (AF_INET6, ip + 1, &((struct sockaddr_in6 *)&address->storage)->sin6_addr)
             == 1;
    }
  v4.sin_port = port;
  memcpy (&address->storage, &v4, sizeof v4);
  address->len = sizeof v4;
  return inet_pton (AF_INET, ip, &((struct sockaddr_in *)&address->storage)->sin_addr) == 1;
}

uint16_t
address_port (const Address *address)
{
  if (address->storage.ss_family == AF_INET6)
    return ntohs (((const struct sockaddr_in6 *)&address->storage)->sin6_port);
  return ntohs (((const struct sockaddr_in *)&address->storage)->sin_port);
}

bool
address_equal (const Address *a, const Address *b)
{
  return a->len == b->len && !memcmp (&a->storage, &b->storage, a->len);
}
