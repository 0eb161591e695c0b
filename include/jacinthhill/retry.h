#include <stdbool.h>
struct jh_retry;
struct jh_retry *jh_retry_create(void);
void jh_retry_destroy(struct jh_retry *);
void jh_retry_success(struct jh_retry *);
bool jh_retry_take(struct jh_retry *);
