/* Appends one line of JSON for each event to a history file, which
   tests/history checks.  Prefix: hf_.  */

#ifndef FT_HISTORY_FILE_H
#define FT_HISTORY_FILE_H

#include <jansson.h>
#include <stddef.h>

struct hf_file;

/*! hf_open () :
 *  Opens a file for appending, or creates it.
 *  @path : NULL: all lines are discarded.
 *  @return : NULL if the file cannot be opened; the reason is then printed to
 *  standard error. */
struct hf_file *hf_open (const char *path);
void hf_close (struct hf_file *file); /* accepts NULL */

/*! hf_write () :
 *  Appends one line with one call of write (), so that several processes may
 *  share the file.
 *  @who : the host or service that the event happened at.
 *  @what : the kind of event.
 *  @fields : members besides t_ms, who and what; the reference is taken. */
void hf_write (struct hf_file *file, const char *who, const char *what,
               json_t *fields);

/*! hf_digest () :
 *  @return : the first 16 hexadecimal digits of the SHA-256 checksum, by which
 *  histories name bodies and outputs; to be freed by g_free (). */
char *hf_digest (const char *data, size_t size_bytes);

#endif
