/* Appends one JSON line for each effect to a history file.  Prefix: hf_.  */

#ifndef FT_HISTORY_FILE_H
#define FT_HISTORY_FILE_H

#include <jansson.h>
#include <stddef.h>

struct hf_file;

/*! hf_open () :
 *  @path : NULL: all lines are discarded.
 *  @return : NULL when the file cannot be opened. */
struct hf_file *hf_open (const char *path);
void hf_close (struct hf_file *file); /* accepts NULL */

/*! hf_write () :
 *  Appends one line in one write.
 *  @fields : members besides t_ms, who and what; the reference is taken. */
void hf_write (struct hf_file *file, const char *who, const char *what,
               json_t *fields);

/*! hf_digest () :
 *  @return : the first 16 hexadecimal digits of SHA-256, by which histories
 *  name bodies; to be freed by g_free (). */
char *hf_digest (const char *data, size_t size_bytes);

#endif
