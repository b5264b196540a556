/*
 * http-reader.c - fuzz target: a stream of requests or responses.  However
 * it is cut into pieces, the same messages come out.
 */
#include <stdlib.h>
#include <string.h>

#include "net/http-reader.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t length);

/* Read with pieces of `piece` bytes; the sum of what was read. */
static uint64_t read_all(const uint8_t *data, size_t length, size_t piece,
			 bool responses)
{
	struct rr_http_reader_options options = {
		.parse_responses = responses,
		.max_header_bytes = 2000,
		.max_body_bytes = 1000,
	};
	struct rr_http_reader *reader = rr_new_http_reader(&options);
	enum rr_http_result result = RR_HTTP_INCOMPLETE;
	uint64_t sum = 0;
	size_t at = 0;

	while (at < length &&
	       (result == RR_HTTP_INCOMPLETE || result == RR_HTTP_COMPLETE)) {
		size_t n = length - at < piece ? length - at : piece;
		size_t used;

		result = rr_parse_http(reader, data + at, n, &used);
		if (used > n)
			abort();
		at += used;
		if (result != RR_HTTP_COMPLETE)
			continue;
		sum = sum * 31 + rr_http_message(reader)->body_length;
		sum = sum * 31 + rr_http_message(reader)->n_headers;
		rr_reset_http_reader(reader, false);
	}
	rr_drop_http_reader(reader);
	return sum;
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t length)
{
	if (!length)
		return 0;
	if (read_all(data + 1, length - 1, length, data[0] & 1) !=
	    read_all(data + 1, length - 1, 1, data[0] & 1))
		abort();
	return 0;
}
