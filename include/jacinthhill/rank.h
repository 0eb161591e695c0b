#ifndef JACINTHHILL_RANK_H
#define JACINTHHILL_RANK_H

/* Urgency of work; a lower value goes first. */
enum jh_rank { JH_RANK_URGENT, JH_RANK_BACKGROUND };

#define JH_RANKS 2

#endif
