/* Embeds the fold over a log: two hosts claim the same term.  Both apply the
   same records in the same order and so agree on the holder of the term.  */

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "foxtailgap.h"

enum
{
  WINDOW_MS = 3600 * 1000,
  BATCH_LIMIT_BYTES = 256
};

static void
on_term (void *ctx, uint64_t term, const char *holder)
{
  printf ("%s: term %" PRIu64 " is held by %s\n", (const char *)ctx, term,
          holder);
}

static void
on_verdict (void *ctx, const uint8_t id[ST_ID_SIZE_BYTES],
            enum st_verdict verdict)
{
  printf ("%s: record %d is %s\n", (const char *)ctx, id[0],
          st_verdict_name (verdict));
}

/* Packs an append with one record, by which HOST claims TERM.
   @return : size of the append in bytes.  */
static size_t
pack_claim (uint8_t number, char *host, uint64_t term,
            uint8_t packed[BATCH_LIMIT_BYTES])
{
  uint8_t id[ST_ID_SIZE_BYTES] = { number };
  Ft__TermClaim claim = FT__TERM_CLAIM__INIT;
  Ft__Record record = FT__RECORD__INIT;
  Ft__Record *records[] = { &record };
  Ft__Batch batch = FT__BATCH__INIT;

  claim.term = term;
  claim.host = host;
  record.id.data = id;
  record.id.len = sizeof id;
  record.host = host;
  record.body_case = FT__RECORD__BODY_TERM_CLAIM;
  record.term_claim = &claim;
  batch.records = records;
  batch.n_records = 1;
  return ft__batch__pack (&batch, packed);
}

static bool
equal_states (const struct st_state *a, const struct st_state *b)
{
  uint8_t *left = NULL;
  uint8_t *right = NULL;
  size_t left_bytes;
  size_t right_bytes;
  bool equal = false;

  if (st_encode (a, &left, &left_bytes) == ST_OK
      && st_encode (b, &right, &right_bytes) == ST_OK)
    equal = left_bytes == right_bytes && memcmp (left, right, left_bytes) == 0;
  free (left);
  free (right);
  return equal;
}

int
main (void)
{
  static char names[][3] = { "e1", "e2" };
  struct st_state *states[2] = { NULL, NULL };
  uint8_t packed[BATCH_LIMIT_BYTES];
  size_t size_bytes;
  uint8_t number;
  int i;

  for (i = 0; i < 2; i++)
    {
      struct st_observer observer
          = { .on_term = on_term, .on_verdict = on_verdict, .ctx = names[i] };

      if (st_create (&states[i], &observer, WINDOW_MS) != ST_OK)
        return 1;
    }
  /* Both hosts claim term 1; e2's claim comes first in the log.  */
  for (number = 0; number < 2; number++)
    {
      size_bytes = pack_claim (number, names[1 - number], 1, packed);
      for (i = 0; i < 2; i++)
        st_apply (states[i], number, 1000, packed, size_bytes);
    }
  printf ("equal states: %s\n",
          equal_states (states[0], states[1]) ? "yes" : "no");
  for (i = 0; i < 2; i++)
    st_free (states[i]);
  return 0;
}
