#include <jacinthhill/retry.h>
#include <glib.h>
struct jh_retry {
	int x;
};
struct jh_retry *
jh_retry_create(void)
{
	return g_new0(struct jh_retry, 1);
}
void
jh_retry_destroy(struct jh_retry *r)
{
	g_free(r);
}
void
jh_retry_success(struct jh_retry *r)
{
}
bool
jh_retry_take(struct jh_retry *r)
{
	return true;
}
