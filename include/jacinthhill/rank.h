#ifndef JACINTHHILL_RANK_H
#define JACINTHHILL_RANK_H

/* Priority classes of requests, most urgent first. */
enum jh_rank {
	JH_RANK_URGENT,
	JH_RANK_BACKGROUND,
	JH_RANKS,
};

#endif
