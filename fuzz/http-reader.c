/*
 * http-reader.c - Fuzz target: a stream of HTTP requests or responses.
 *
 * The parsed messages must not depend on how the stream is split into chunks.
 */
#include <stdlib.h>
#include <string.h>

#include "net/http-reader.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t length);

/* Parse in chunks of `chunk_size` bytes; returns a hash of the messages. */
static uint64_t read_stream(const uint8_t *data, size_t length,
			    size_t chunk_size, bool responses)
{
	struct rr_http_reader_options options = {
		.parse_responses = responses,
		.max_header_bytes = 2000,
		.max_body_bytes = 1000,
	};
	struct rr_http_reader *reader = rr_new_http_reader(&options);
	enum rr_http_result result = RR_HTTP_INCOMPLETE;
	uint64_t sum = 0;
	size_t offset = 0;

	while (offset < length &&
	       (result == RR_HTTP_INCOMPLETE || result == RR_HTTP_COMPLETE)) {
		size_t n = length - offset < chunk_size ? length - offset :
							  chunk_size;
		size_t used;

		result = rr_parse_http(reader, data + offset, n, &used);
		if (used > n)
			abort();
		offset += used;
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
	if (read_stream(data + 1, length - 1, length, data[0] & 1) !=
	    read_stream(data + 1, length - 1, 1, data[0] & 1))
		abort();
	return 0;
}
