/** @file
 * Which bytes the parts of a head may have (RFC 9110, sections 5.5 and 5.6.2). Any thread. */
#pragma once

#include <stdbool.h>

/** @return whether a token, such as the name of a header, may contain the byte. */
bool field_is_token_byte (unsigned char c);

/** @return whether the value of a header, or any other text of a head, may contain the byte. */
bool field_is_text_byte (unsigned char c);
