#include <stdio.h>
#include <string.h>

#include "once_state.h"

bool
once_chance(struct world *w, int percent)
{
	return g_rand_int_range(w->rand, 0, 100) < percent;
}

void
once_check(struct world *w, bool ok, const char *what)
{
	if (!ok && w->fault == NULL)
		w->fault = what;
}

void
once_apply_store(struct world *w, struct event *e)
{
	const struct jh_ledger_action *a = e->act;
	struct object *o = g_hash_table_lookup(w->store, a->object);
	bool write;

	e->result = JH_STORE_OK;
	if (a->act == JH_LEDGER_CREATE)
		write = o == NULL || w->mutant == ONCE_STORE_IGNORES_CONDITION;
	else
		write = a->act == JH_LEDGER_UPDATE && o != NULL &&
			o->version == a->version;
	if (a->act != JH_LEDGER_CREATE && o == NULL)
		e->result = JH_STORE_NOT_FOUND;
	else if (a->act != JH_LEDGER_READ && !write)
		e->result = JH_STORE_CONFLICT;
	if (write) {
		if (o == NULL) {
			o = g_new0(struct object, 1);
			o->value = g_string_new(NULL);
			g_hash_table_insert(w->store, g_strdup(a->object), o);
		} else if (strstr(a->value, "\"started\"") != NULL) {
			w->seen->replaced++;
		}
		o->version++;
		g_string_truncate(o->value, 0);
		g_string_append_len(o->value, a->value, (gssize)a->value_len);
	}
	if (o == NULL)
		return;
	e->version = o->version;
	e->value = g_string_new_len(o->value->str, (gssize)o->value->len);
}

void
once_apply_ask(struct world *w, struct event *e)
{
	int i = e->act->agent[0] - 'a';

	if (w->ledger[i] == NULL)
		e->state = once_chance(w, 50) ? JH_NONCE_NO_ANSWER
					      : JH_NONCE_NO_SUCH_AGENT;
	else
		e->state =
		    jh_ledger_asked(w->ledger[i], e->act->nonce, &e->answer);
	if (w->mutant == ONCE_PEER_SAYS_ABANDONED)
		e->state = JH_NONCE_ABANDONED;
}

void
once_apply_send(struct world *w, struct event *e)
{
	struct key *k = &w->keys[e->key];
	char text[32];

	if (once_chance(w, 15)) { /* refused, nothing was sent */
		if (w->mutant != ONCE_SEND_IS_REPEATED || once_chance(w, 50))
			k->sends[e->act->attempt == k->other]--;
		else
			k->executed++;
		return;
	}
	e->sent = true;
	if (!w->healed && once_chance(w, 10))
		return; /* the request is lost */
	once_check(w, ++k->executed == 1, "a key ran twice");
	snprintf(k->executed_hash, sizeof(k->executed_hash), "%s",
	    e->act->attempt == k->other ? "other" : k->hash);
	if (!w->healed && once_chance(w, 15))
		return; /* the answer is lost */
	snprintf(text, sizeof(text), "%s/%s",
	    w->mutant == ONCE_ANSWERS_ARE_CROSSED ? "k9" : k->name,
	    k->executed_hash);
	e->answer = jh_call_answer_create(200, JH_STR("t"), jh_str_from(text));
}
