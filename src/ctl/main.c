#include <stdio.h>

#include "base/event.h"
#include "ctl/ctl.h"

int
main(int argc, char **argv)
{
	jh_event_init("jhctl");
	return ctl_main(argc, argv, stdout, stderr);
}
