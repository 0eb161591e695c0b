#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "gateway/quota_message.h"

#define NOW (1000 * JH_USEC_PER_SEC)
#define MAX_LEN 1400

static struct jh_quota_ledger *l[2];

/* Two processes in touch that share quotas of 1,000 a second. */
static int
set_up(void **state)
{
	static const struct jh_quota_rate rate = {1000, 1000};
	uint64_t i, quota;

	for (i = 0; i < 2; i++) {
		l[i] = jh_quota_ledger_create(NOW);
		jh_quota_ledger_set_self(l[i], i);
		jh_quota_ledger_add_peer(l[i], 1 - i);
		jh_quota_ledger_peer_heard(l[i], NOW, 1 - i);
		for (quota = 0; quota < 100; quota++)
			jh_quota_ledger_set(l[i], NOW, quota, &rate);
	}
	return 0;
}

static int
tear_down(void **state)
{
	jh_quota_ledger_destroy(l[0]);
	jh_quota_ledger_destroy(l[1]);
	return 0;
}

static double
level(uint64_t quota)
{
	return jh_quota_ledger_level(l[1], NOW, quota);
}

/* Guards against use that a late or repeated message subtracts or restores. */
static void
late_and_repeated_messages_change_nothing(void **state)
{
	unsigned char first[MAX_LEN], second[MAX_LEN];
	size_t next = 0, first_len, second_len;

	assert_int_equal(jh_quota_ledger_admit(l[0], NOW, 7,
			     &(struct jh_quota_request){.cost = 100}),
	    0);
	first_len = jh_quota_message_write(l[0], NOW, &next, first, MAX_LEN);
	assert_int_equal(jh_quota_ledger_admit(l[0], NOW, 7,
			     &(struct jh_quota_request){.cost = 500}),
	    0);
	next = 0;
	second_len = jh_quota_message_write(l[0], NOW, &next, second, MAX_LEN);
	assert_true(jh_quota_message_read(l[1], NOW, 0, second, second_len));
	assert_true(level(7) == -600);
	assert_true(jh_quota_message_read(l[1], NOW, 0, second, second_len));
	assert_true(jh_quota_message_read(l[1], NOW, 0, first, first_len));
	assert_true(level(7) == -600);
	assert_true(level(8) == 0);
}

/* Guards against refunds that peers do not learn of. */
static void
refunds_are_announced(void **state)
{
	unsigned char out[MAX_LEN];
	size_t next = 0, len;

	assert_int_equal(jh_quota_ledger_admit(l[0], NOW, 7,
			     &(struct jh_quota_request){.cost = 100}),
	    0);
	jh_quota_ledger_refund(l[0], NOW, 7, 100);
	jh_quota_ledger_refund(l[0], NOW, 7, 10); /* of the period before */
	len = jh_quota_message_write(l[0], NOW, &next, out, MAX_LEN);
	assert_true(jh_quota_message_read(l[1], NOW, 0, out, len));
	assert_true(level(7) == 10);
}

/* Guards against quotas that do not fit into a message and are never told. */
static void
all_quotas_are_told_in_turn(void **state)
{
	unsigned char out[MAX_LEN];
	size_t next = 0, len, i;

	for (i = 0; i < 100; i++)
		assert_int_equal(jh_quota_ledger_admit(l[0], NOW, i,
				     &(struct jh_quota_request){.cost = 100}),
		    0);
	for (i = 0; i < 3; i++) {
		len = jh_quota_message_write(l[0], NOW, &next, out, MAX_LEN);
		assert_in_range(len, 1, MAX_LEN);
		assert_true(jh_quota_message_read(l[1], NOW, 0, out, len));
	}
	for (i = 0; i < 100; i++)
		assert_true(level(i) == -100);
}

/* Guards against a part of a message, or an unknown sender, that counts. */
static void
invalid_messages_are_rejected(void **state)
{
	unsigned char out[MAX_LEN];
	size_t next = 0, len;

	assert_int_equal(jh_quota_ledger_admit(l[0], NOW, 7,
			     &(struct jh_quota_request){.cost = 100}),
	    0);
	len = jh_quota_message_write(l[0], NOW, &next, out, MAX_LEN);
	assert_false(jh_quota_message_read(l[1], NOW, 0, out, len - 1));
	assert_true(jh_quota_message_read(l[1], NOW, 5, out, len));
	assert_true(jh_quota_message_read(l[1], NOW, 0, out, 0));
	assert_true(level(7) == 0);
}

#define MESSAGE_TEST(f) cmocka_unit_test_setup_teardown(f, set_up, tear_down)

static const struct CMUnitTest tests[] = {
    MESSAGE_TEST(late_and_repeated_messages_change_nothing),
    MESSAGE_TEST(refunds_are_announced),
    MESSAGE_TEST(all_quotas_are_told_in_turn),
    MESSAGE_TEST(invalid_messages_are_rejected),
};

int
main(void)
{
	return cmocka_run_group_tests(tests, NULL, NULL);
}
