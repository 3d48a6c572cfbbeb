/* Error messages about a document or a settings file.  */

#include "config/messages.h"

#include <glib/gprintf.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

void
em_add (struct env_messages *messages, uint32_t line, const char *format, ...)
{
  struct env_message *items;
  va_list args;

  if (messages->count >= EM_MESSAGE_LIMIT)
    return;
  items = realloc (messages->items, (messages->count + 1) * sizeof *items);
  if (items == NULL)
    return;
  messages->items = items;
  items += messages->count;
  items->line = line;
  va_start (args, format);
  g_vsnprintf (items->text, sizeof items->text, format, args);
  va_end (args);
  messages->count++;
}

void
em_sort (struct env_messages *messages)
{
  struct env_message moved;
  size_t at;

  for (size_t i = 1; i < messages->count; i++)
    {
      moved = messages->items[i];
      at = i;
      while (at > 0 && messages->items[at - 1].line > moved.line)
        {
          messages->items[at] = messages->items[at - 1];
          at--;
        }
      messages->items[at] = moved;
    }
}

void
env_messages_clear (struct env_messages *messages)
{
  free (messages->items);
  memset (messages, 0, sizeof *messages);
}
