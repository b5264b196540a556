/*
 * wire-validate.c - checks of names, addresses and key ranges.
 */
#include "wire/wire-private.h"

#include <string.h>

#define MAX_PORT 65535

bool rr_is_valid_name(const char *text)
{
	size_t length;

	if (!text || !g_ascii_isalnum(*text))
		return false;
	for (length = 1; text[length]; length++) {
		char c = text[length];

		if (length >= RR_MAX_NAME_LENGTH)
			return false;
		if (!g_ascii_isalnum(c) && c != '.' && c != '_' && c != '-')
			return false;
	}
	return true;
}

/*
 * Parse a decimal number of at most `max` and return the position after it,
 * or NULL if there is no such number.  Leading zeros are rejected, since some
 * resolvers read them as octal.
 */
static const char *parse_number(const char *at, uint32_t max, uint32_t *number)
{
	const char *start = at;

	*number = 0;
	while (g_ascii_isdigit(*at)) {
		*number = *number * 10 + (uint32_t)(*at - '0');
		if (*number > max)
			return NULL;
		at++;
	}
	if (at == start || (*start == '0' && at - start > 1))
		return NULL;
	return at;
}

bool rr_is_valid_address(const char *text)
{
	uint32_t number;

	if (!text)
		return false;
	for (int i = 0; i < 4; i++) {
		text = parse_number(text, 255, &number);
		if (!text || *text != (i < 3 ? '.' : ':'))
			return false;
		text++;
	}
	text = parse_number(text, MAX_PORT, &number);
	return text && !*text && number > 0;
}

bool rr_is_valid_key_range(uint64_t from, uint64_t to)
{
	return from < to && to <= RR_KEY_LIMIT;
}
