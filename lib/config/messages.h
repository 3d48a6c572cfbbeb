/* Error messages about a document or a settings file, collected while it is
   checked.  Prefix: em_.  */

#ifndef FT_CONFIG_MESSAGES_H
#define FT_CONFIG_MESSAGES_H

#include <glib.h>

#include "config/environment.h"

enum
{
  EM_MESSAGE_LIMIT = 100 /* further messages are dropped */
};

/*! em_add () :
 *  Adds one message, cut to the size of env_message::text.
 *  @line : from 1; 0 if the message applies to the whole text. */
void em_add (struct env_messages *messages, uint32_t line, const char *format,
             ...) G_GNUC_PRINTF (3, 4);

/*! em_sort () :
 *  Sorts by line; the order of messages with the same line is kept. */
void em_sort (struct env_messages *messages);

#endif
