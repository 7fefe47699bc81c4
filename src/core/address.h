/** @file
 * Parses "IP:port" and "[IPv6]:port". */
#pragma once

#include <stdbool.h>
#include <stdint.h>
#include <sys/socket.h>

typedef struct
{
  struct sockaddr_storage storage;
  socklen_t len;
} Address;

/** @return false if @p text is not a numeric address with a port. Host names are never resolved. */
bool address_parse (const char *text, Address *address);

/** @return 0 for an address on which a listener gets any free port; nothing can connect to it. */
uint16_t address_port (const Address *address);

bool address_equal (const Address *a, const Address *b);
