#include <string.h>

#include "agent/once_reply.h"

static const char *
reason_name(const struct jh_ledger_action *act)
{
	switch (act->reason) {
	case JH_LEDGER_REASON_STORE_UNAVAILABLE:
		return "store_unavailable";
	case JH_LEDGER_REASON_BACKEND_UNREACHABLE:
		return "backend_down";
	case JH_LEDGER_REASON_BACKEND_LOST:
		return "backend_lost";
	case JH_LEDGER_REASON_HOLDER_GONE:
		return "holder_gone";
	case JH_LEDGER_REASON_HOLDER_TIMEOUT:
		return "holder_silent";
	case JH_LEDGER_REASON_DEADLINE:
		return "deadline";
	case JH_LEDGER_REASON_FULL:
		return "busy";
	case JH_LEDGER_REASON_BAD_RECORD:
		return "record_malformed";
	default:
		break;
	}
	if (act->outcome == JH_LEDGER_KEY_REUSED)
		return "key_reused";
	return act->outcome == JH_LEDGER_NOT_KEPT ? "answer_not_kept" : "none";
}

static const char *
ran_name(enum jh_ledger_ran ran)
{
	if (ran == JH_LEDGER_RAN_NO)
		return "not_run";
	return ran == JH_LEDGER_RAN_YES ? "ran" : "unknown";
}

static unsigned int
refusal_status(enum jh_ledger_outcome outcome)
{
	if (outcome == JH_LEDGER_KEY_REUSED)
		return 422;
	return outcome == JH_LEDGER_NOT_KEPT ? 409 : 503;
}

void
once_write_reply(struct agent *a, struct jh_http_req *req,
    const struct jh_ledger_action *act)
{
	const char *reason = reason_name(act);
	struct jh_str type, body;
	char *type_text;

	agent_add_headers(a, req, ran_name(act->ran));
	if (act->outcome != JH_LEDGER_DONE) {
		jh_http_req_add_header(req, "Jh-Reason", reason);
		jh_http_req_reply(req, refusal_status(act->outcome),
		    "text/plain", reason, strlen(reason));
		return;
	}
	type = jh_call_response_type(act->response);
	body = jh_call_response_body(act->response);
	type_text = type.len == 0 ? g_strdup("application/octet-stream")
				  : jh_str_dup(type);
	jh_http_req_reply(req, jh_call_response_status(act->response),
	    type_text, body.ptr, body.len);
	g_free(type_text);
}
