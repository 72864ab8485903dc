package process

// The constructor runs when the program is loaded, before the Go runtime starts.
//
// SIGHUP: the runtime keeps an ignored SIGHUP ignored until signal.Notify, so that one which arrives
// during the initialization of the packages doesn't end the process.
//
// M_ARENA_MAX: the C library otherwise reserves 64 MiB of address space for each thread that allocates.

// #include <malloc.h>
// #include <signal.h>
//
// __attribute__((constructor)) static void prepare_process(void) {
//     signal(SIGHUP, SIG_IGN);
// #ifdef M_ARENA_MAX
//     mallopt(M_ARENA_MAX, 1);
// #endif
// }
import "C"
