#include "member/position.h"

int
jh_position_compare(const struct jh_position *a, const struct jh_position *b)
{
	if (a->era != b->era)
		return a->era < b->era ? -1 : 1;
	if (a->revision != b->revision)
		return a->revision < b->revision ? -1 : 1;
	return 0;
}
