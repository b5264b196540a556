/*
 * error.h - the library's GError domain.
 */
#ifndef RAGWORT_ERROR_H
#define RAGWORT_ERROR_H

#include <glib.h>

#define RR_ERROR (rr_error_quark())

enum rr_error_code {
	RR_ERROR_SYNTAX,	   /* text that cannot be parsed */
	RR_ERROR_OUT_OF_RANGE,	   /* a value outside what is allowed */
	RR_ERROR_UNSUPPORTED,	   /* a name that is not known */
	RR_ERROR_RESTART_REQUIRED, /* somebody else changed it first */
	RR_ERROR_UNAVAILABLE,	   /* a service does not answer */
	RR_ERROR_TOO_LARGE,
	RR_ERROR_SYSTEM, /* the operating system said no */
};

GQuark rr_error_quark(void);

#endif
