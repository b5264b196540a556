/*
 * version.h - version of the library and of both programs.
 */
#ifndef RAGWORT_VERSION_H
#define RAGWORT_VERSION_H

#define RR_VERSION "0.1.0"

#endif
