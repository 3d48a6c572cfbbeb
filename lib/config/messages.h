/* Complaints about a document or a settings file, collected while it is
   checked.  Prefix: em_.  */

#ifndef FT_CONFIG_MESSAGES_H
#define FT_CONFIG_MESSAGES_H

#include <glib.h>

#include "config/environment.h"

enum
{
  EM_MESSAGE_LIMIT = 100 /* further complaints are dropped */
};

/*! em_add () :
 *  Adds one complaint; LINE 0 is of the whole document. */
void em_add (struct env_messages *messages, uint32_t line, const char *format,
             ...) G_GNUC_PRINTF (3, 4);

/*! em_sort () :
 *  Orders by line, and keeps the order within a line. */
void em_sort (struct env_messages *messages);

#endif
