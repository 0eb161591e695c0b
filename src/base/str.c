#include <string.h>

#include <glib.h>

#include <jacinthhill/str.h>

struct jh_str
jh_str_from(const char *s)
{
	return (struct jh_str){s, s == NULL ? 0 : strlen(s)};
}

bool
jh_str_eq(struct jh_str a, struct jh_str b)
{
	return a.len == b.len &&
	       (a.len == 0 || memcmp(a.ptr, b.ptr, a.len) == 0);
}

char *
jh_str_dup(struct jh_str s)
{
	return g_strndup(s.ptr == NULL ? "" : s.ptr, s.len);
}
