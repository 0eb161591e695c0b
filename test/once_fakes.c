#include <stdio.h>
#include <string.h>

#include "once_state.h"

bool
once_chance(struct simulation *sim, int percent)
{
	return g_rand_int_range(sim->rand, 0, 100) < percent;
}

void
once_check(struct simulation *sim, bool ok, const char *what)
{
	if (!ok && sim->violation == NULL)
		sim->violation = what;
}

void
once_apply_store(struct simulation *sim, struct event *e)
{
	const struct jh_ledger_action *a = e->act;
	struct object *o = g_hash_table_lookup(sim->store, a->object);
	bool write;

	e->result = JH_STORE_OK;
	if (a->act == JH_LEDGER_CREATE)
		write =
		    o == NULL || sim->mutant == ONCE_STORE_IGNORES_CONDITION;
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
			g_hash_table_insert(sim->store, g_strdup(a->object), o);
		} else if (strstr(a->value, "\"started\"") != NULL) {
			sim->coverage->replaced++;
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
once_apply_query(struct simulation *sim, struct event *e)
{
	int i = e->act->agent[0] - 'a';

	if (sim->ledger[i] == NULL)
		e->state = once_chance(sim, 50) ? JH_NONCE_NO_RESPONSE
						: JH_NONCE_NO_SUCH_AGENT;
	else
		e->state = jh_ledger_nonce_state(
		    sim->ledger[i], e->act->nonce, &e->response);
	if (sim->mutant == ONCE_PEER_SAYS_ABANDONED)
		e->state = JH_NONCE_ABANDONED;
}

void
once_apply_send(struct simulation *sim, struct event *e)
{
	struct key *k = &sim->keys[e->key];
	char text[32];

	if (once_chance(sim, 15)) { /* connection refused, nothing was sent */
		if (sim->mutant != ONCE_SEND_IS_REPEATED ||
		    once_chance(sim, 50))
			k->sends[e->act->attempt == k->other]--;
		else
			k->executed++;
		return;
	}
	e->sent = true;
	if (!sim->faults_stopped && once_chance(sim, 10))
		return; /* the request is lost */
	once_check(sim, ++k->executed == 1, "the call of a key ran twice");
	snprintf(k->executed_hash, sizeof(k->executed_hash), "%s",
	    e->act->attempt == k->other ? "other" : k->hash);
	if (!sim->faults_stopped && once_chance(sim, 15))
		return; /* the response is lost */
	snprintf(text, sizeof(text), "%s/%s",
	    sim->mutant == ONCE_RESPONSES_ARE_SWAPPED ? "k9" : k->name,
	    k->executed_hash);
	e->response =
	    jh_call_response_create(200, JH_STR("t"), jh_str_from(text));
}
