/* Appends one JSON line for each effect to a history file.  Prefix: hf_.  */

#ifndef FT_HISTORY_FILE_H
#define FT_HISTORY_FILE_H

#include <jansson.h>

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

#endif
