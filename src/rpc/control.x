/*
 * Control messages between jacinthhill processes. Each procedure carries a
 * sealed message: the XDR encoding of the procedure's own argument, with a MAC
 * over procedure, nonce, send time and payload. The reply is sealed with the
 * nonce of its request.
 */

const JH_MAX_PAYLOAD = 16777216;
const JH_MAX_TEXT = 1048576;
const JH_MAX_NAME = 256;
const JH_MAX_ITEMS = 65536;
const JH_MAX_CRASHES = 2048;
const JH_NONCE_LEN = 16;
const JH_MAC_LEN = 32;

struct jh_sealed {
	opaque nonce[JH_NONCE_LEN];
	unsigned hyper sent_usec;	/* sender's wall clock */
	opaque payload<JH_MAX_PAYLOAD>;
	opaque mac[JH_MAC_LEN];
};

/* One catalogue entry as it stands in the store; json empty: deleted. */
struct jh_wire_entry {
	string key<JH_MAX_NAME>;
	unsigned hyper entry_version;
	string json<JH_MAX_TEXT>;
};

/* One fingerprint in one crash; see struct jh_crash. */
struct jh_wire_crash {
	unsigned hyper print_high;
	unsigned hyper print_low;
	unsigned hyper reporter;	/* incarnation of the reporting agent */
	unsigned hyper sequence;	/* of that reporter's crashes */
	unsigned int remaining_ms;
	bool sole;	/* of a part: it has had output */
	bool cleared;
};

struct jh_sync_args {
	string instance<JH_MAX_NAME>;
	unsigned hyper incarnation;
	unsigned hyper revision;	/* what the asker has in full */
	jh_wire_crash crashes<JH_MAX_CRASHES>;
};

struct jh_sync_reply {
	string instance<JH_MAX_NAME>;
	unsigned hyper incarnation;
	unsigned hyper revision;
	unsigned int confirmed_age_ms;	/* since the store confirmed it */
	jh_wire_entry entries<JH_MAX_ITEMS>; /* changed after the asker's */
	jh_wire_crash crashes<JH_MAX_CRASHES>;
	bool full;			/* entries is all there is */
	unsigned hyper floor;		/* full: deletions known from here */
};

/* Values of enum jh_nonce_state. */
struct jh_nonce_args {
	unsigned hyper incarnation;	/* of the agent that issued it */
	unsigned hyper seq;
};

struct jh_nonce_reply {
	unsigned int state;
	unsigned int has_answer;
	unsigned int status;		/* done: HTTP status of the answer */
	string type<JH_MAX_NAME>;
	opaque answer<JH_MAX_TEXT>;
};

/* struct jh_quota_report of one (organisation, class). */
struct jh_wire_report {
	string key<JH_MAX_NAME>;	/* organisation/class */
	unsigned hyper seq;
	unsigned hyper rate_demand;
	unsigned hyper concurrent_demand;
	unsigned hyper running;
	unsigned int members;
	unsigned hyper held_granter;
	unsigned hyper held_seq;
	unsigned hyper held_rate;
	unsigned hyper held_concurrent;
	unsigned hyper held_left_usec;
};

struct jh_quota_args {
	string instance<JH_MAX_NAME>;
	unsigned hyper incarnation;	/* of the holder */
	unsigned hyper granter;		/* incarnation meant; 0: any */
	jh_wire_report reports<JH_MAX_ITEMS>;
};

/* struct jh_quota_grant of one (organisation, class). */
struct jh_wire_grant {
	string key<JH_MAX_NAME>;
	unsigned hyper report;
	unsigned hyper seq;
	unsigned hyper rate;
	unsigned hyper concurrent;
};

struct jh_quota_reply {
	unsigned hyper incarnation;	/* of the granter */
	jh_wire_grant grants<JH_MAX_ITEMS>;
};

enum jh_order_kind {
	JH_ORDER_LOAD_WEIGHTS = 0,
	JH_ORDER_CHANGE_ROLE = 1,
	JH_ORDER_LOAD_ADAPTER = 2
};

struct jh_order_args {
	string duty<JH_MAX_NAME>;	/* the lease's name */
	unsigned hyper fencing;		/* the lease object's version */
	jh_order_kind kind;
	string model<JH_MAX_NAME>;
	string weights<JH_MAX_NAME>;
	string role<JH_MAX_NAME>;
};

struct jh_status_reply {
	unsigned int code;		/* 0: accepted */
	string message<JH_MAX_TEXT>;
};

/* Names the process meant, so that a replay cannot drain its successor. */
struct jh_drain_args {
	unsigned hyper incarnation;
};

struct jh_dump_args {
	string section<JH_MAX_NAME>;	/* empty: everything */
};

struct jh_text_reply {
	string text<JH_MAX_PAYLOAD>;	/* JSON */
};

program JH_CONTROL {
	version JH_CONTROL_V1 {
		jh_sealed JH_SYNC(jh_sealed) = 1;
		jh_sealed JH_NONCE(jh_sealed) = 2;
		jh_sealed JH_QUOTA(jh_sealed) = 3;
		jh_sealed JH_ORDER(jh_sealed) = 4;
		jh_sealed JH_DRAIN(jh_sealed) = 5;
		jh_sealed JH_DUMP(jh_sealed) = 6;
	} = 1;
} = 0x20004a48;
