package process

// SIGHUP is ignored from the moment at which the program is loaded, before the Go runtime starts. The
// runtime keeps an ignored SIGHUP ignored until signal.Notify, so that one which arrives during the
// initialization of the packages doesn't end the process.

// #include <signal.h>
//
// __attribute__((constructor)) static void ignore_reload(void) { signal(SIGHUP, SIG_IGN); }
import "C"
