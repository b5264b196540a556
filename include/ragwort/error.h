/*
 * error.h - the GError domain of the library.
 */
#ifndef RAGWORT_ERROR_H
#define RAGWORT_ERROR_H

#include <glib.h>

#define RR_ERROR (rr_error_quark())

enum rr_error_code {
	RR_ERROR_SYNTAX,	   /* text or bytes that cannot be parsed */
	RR_ERROR_OUT_OF_RANGE,	   /* a value outside its allowed range */
	RR_ERROR_UNSUPPORTED,	   /* an unknown name, format or version */
	RR_ERROR_RESTART_REQUIRED, /* a change that needs a restart */
	RR_ERROR_UNAVAILABLE,	   /* a service that does not answer */
	RR_ERROR_TOO_LARGE,
	RR_ERROR_SYSTEM, /* a failed system call */
};

GQuark rr_error_quark(void);

#endif
